//! Export and import of KV state.

use dappleyard_engine::{KvExportRequest, KvState};

use super::{EngineModel, Refusal};
use crate::text::TextSource;

impl EngineModel {
    /// Exports the KV state of a running sequence, or of an ended one that is still cached.
    pub fn export_kv(&mut self, now_us: u64, query: &KvExportRequest) -> Result<KvState, Refusal> {
        self.catch_up(now_us);
        let key = TextSource::new(&self.version, &query.prompt).key();
        let block = self.settings.block_tokens;
        let mut running = self.running.iter();
        let (prefix_blocks, blocks) = match running.find(|other| other.text.key() == key) {
            Some(sequence) => {
                let computed = sequence.context() - sequence.prefill_left;
                let own = (computed / block).saturating_sub(sequence.pinned_blocks);
                (sequence.pinned_blocks, own)
            }
            None => {
                let prefix = query.prefix_hash;
                let prefix_blocks = self.memory.cached(prefix) + self.memory.pinned(prefix);
                (prefix_blocks, self.memory.cached(key))
            }
        };
        if blocks == 0 {
            return Err(Refusal::new(404, "no state of this sequence"));
        }
        Ok(KvState {
            version: self.version.to_string(),
            key,
            prefix_hash: query.prefix_hash,
            prefix_tokens: prefix_blocks * block,
            tokens: blocks * block,
        })
    }

    /// Adds KV state to the cache. Rejects state of another version.
    pub fn import_kv(&mut self, now_us: u64, state: &KvState) -> Result<(), Refusal> {
        self.catch_up(now_us);
        if self.model.is_none() || *state.version != *self.version {
            return Err(Refusal::new(409, "state of another version"));
        }
        let block = self.settings.block_tokens.max(1);
        let prefix_blocks = state.prefix_tokens / block;
        let room = self.memory.import(state.prefix_hash, prefix_blocks)
            && self.memory.import(state.key, state.tokens / block);
        if room {
            Ok(())
        } else {
            Err(Refusal::new(429, "no memory for the state"))
        }
    }
}
