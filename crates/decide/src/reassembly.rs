//! Assembly of one answer from chunks that may be repeated, late or out of order.
