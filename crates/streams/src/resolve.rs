//! Decides where a stream began from what this node and others know. Pure.

use dappleyard_model::RunOrigin;

use crate::history::Knowledge;
use crate::questions::Answer;

/// Where a stream of which this node has no record began; `None` if it is not certain.
///
/// A record decides. Otherwise the service must have had a single version, as far as this node and all that answered
/// know, and one of them must know the versions of the past.
pub fn resolve(own: &Knowledge, answers: &[Answer]) -> Option<RunOrigin> {
    let recorded = answers.iter().find_map(|answer| match answer {
        Answer::Began(origin) => Some(origin.clone()),
        Answer::Single(_) | Answer::Several | Answer::Unknown => None,
    });
    if recorded.is_some() {
        return recorded;
    }
    let listed = match own {
        Knowledge::Single(origin) => return Some(origin.clone()),
        Knowledge::Several => return None,
        Knowledge::Stale(origin) => Some(origin),
        Knowledge::Incomplete { listed } => listed.as_ref(),
    };
    if answers.contains(&Answer::Several) {
        return None;
    }
    let mut told = answers.iter().filter_map(|answer| match answer {
        Answer::Single(origin) => Some(origin),
        Answer::Began(_) | Answer::Several | Answer::Unknown => None,
    });
    let first = told.next()?;
    let mut others = told.chain(listed);
    others.all(|origin| origin == first).then(|| first.clone())
}
