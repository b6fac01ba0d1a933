//! What an engine would say: the text that every answer is judged by.

use dappleyard_standin::text::TextSource;

/// Judges the text of an answer.
#[derive(Debug, Clone)]
pub struct Expected {
    /// Versions that may have answered: the one that the answer names, or all that were loaded.
    pub versions: Vec<String>,
    /// Canonical prompt.
    pub prompt: String,
    /// Most tokens.
    pub max_tokens: u32,
}

impl Expected {
    /// What is wrong with a whole answer; `None` when it is right.
    pub fn check_complete(&self, text: &str) -> Option<String> {
        let right = self
            .versions
            .iter()
            .any(|version| self.text(version) == text);
        (!right).then(|| self.difference(text))
    }

    /// What is wrong with an interrupted answer; `None` when it is the start of a right one.
    pub fn check_prefix(&self, text: &str) -> Option<String> {
        let right = self
            .versions
            .iter()
            .any(|version| self.text(version).starts_with(text));
        (!right).then(|| self.difference(text))
    }

    fn text(&self, version: &str) -> String {
        let source = TextSource::new(version, &self.prompt);
        let (tokens, _) = source.end(self.max_tokens);
        source.pieces(0, tokens).concat()
    }

    fn difference(&self, text: &str) -> String {
        let expected = self
            .versions
            .first()
            .map(|version| self.text(version))
            .unwrap_or_default();
        let same = expected
            .bytes()
            .zip(text.bytes())
            .take_while(|(one, other)| one == other)
            .count();
        format!(
            "equal for {same} bytes, then different: {} bytes received, {} expected of {:?}",
            text.len(),
            expected.len(),
            self.versions
        )
    }
}

/// The canonical prompt of a system and a user message.
pub fn canonical(system: &str, user: &str) -> String {
    dappleyard_wire::prompt::canonical_chat([("system", system), ("user", user)])
}
