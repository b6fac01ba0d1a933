//! The online path of a node: receive, admit, place, dispatch, relay, settle.
