//! Checks response text against the deterministic text of the stand-in engine.

use dappleyard_standin::text::TextSource;

/// The expected response to a prompt.
#[derive(Debug, Clone)]
pub struct ExpectedResponse {
    /// Versions that may have responded: the one named in the response, or all that were loaded.
    pub versions: Vec<String>,
    /// Canonical prompt.
    pub prompt: String,
    /// Token limit of the response.
    pub max_tokens: u32,
}

impl ExpectedResponse {
    /// Describes how a complete response differs; `None` if it is correct.
    pub fn check_complete(&self, text: &str) -> Option<String> {
        let right = self
            .versions
            .iter()
            .any(|version| self.text(version) == text);
        (!right).then(|| self.difference(text))
    }

    /// Describes how an interrupted response differs; `None` if it is a prefix of a correct one.
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

pub fn canonical_prompt(system: &str, user: &str) -> String {
    dappleyard_wire::prompt::canonical_chat([("system", system), ("user", user)])
}
