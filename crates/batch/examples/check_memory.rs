//! Prints the peak memory of validating an input file with a number of items: `check_memory ITEMS`.
//! The input is generated as it is read, so that the process does not hold it.

use async_trait::async_trait;
use bytes::Bytes;
use dappleyard_batch::input::{InputLimits, PartIndex, check_input};
use dappleyard_decide::chunks::ChunkSizing;
use dappleyard_store::{ObjectData, ObjectStore, StoreError};

/// Length of a line, bytes.
const LINE_BYTES: u64 = 1_000;
/// Number of lines in a part.
const PART_LINES: u64 = 1_000;

struct GeneratedInput {
    items: u64,
}

fn line(index: u64) -> String {
    let head = format!(
        r#"{{"custom_id":"item-{index}","method":"POST","url":"/v1/completions","body":{{"model":"llm","max_tokens":20,"prompt":""#
    );
    let tail = "\"}}\n";
    let padding = LINE_BYTES as usize - head.len() - tail.len();
    format!(
        "{head}{}{tail}",
        "a ".repeat(padding / 2 + 1).get(..padding).unwrap_or("")
    )
}

#[async_trait(?Send)]
impl ObjectStore for GeneratedInput {
    async fn create(&self, _name: &str, _bytes: Bytes) -> Result<(), StoreError> {
        Ok(())
    }

    async fn read(
        &self,
        name: &str,
        from: u64,
        limit: u64,
    ) -> Result<Option<ObjectData>, StoreError> {
        let part: u64 = name
            .rsplit('/')
            .next()
            .and_then(|text| text.parse().ok())
            .unwrap_or(0);
        let size = PART_LINES * LINE_BYTES;
        let to = (from + limit).min(size);
        let (first, last) = (from / LINE_BYTES, to.div_ceil(LINE_BYTES));
        let start = part / LINE_BYTES;
        let text: String = (first..last).map(|index| line(start + index)).collect();
        let begin = (from % LINE_BYTES) as usize;
        let length = (to - from) as usize;
        Ok(Some(ObjectData {
            bytes: Bytes::from(text).slice(begin..begin + length),
            size,
        }))
    }

    async fn delete(&self, _name: &str) -> Result<(), StoreError> {
        Ok(())
    }

    async fn list(
        &self,
        prefix: &str,
        after: &str,
        limit: usize,
    ) -> Result<Vec<(String, u64)>, StoreError> {
        let size = PART_LINES * LINE_BYTES;
        let names = (0..self.items / PART_LINES).map(|part| format!("{prefix}{:012}", part * size));
        let page = names.filter(|name| name.as_str() > after).take(limit);
        Ok(page.map(|name| (name, size)).collect())
    }
}

fn peak_kb() -> u64 {
    let status = std::fs::read_to_string("/proc/self/status").unwrap_or_default();
    let line = status.lines().find(|line| line.starts_with("VmHWM:"));
    let number = line.and_then(|line| line.split_whitespace().nth(1));
    number.and_then(|number| number.parse().ok()).unwrap_or(0)
}

#[tokio::main(flavor = "current_thread")]
async fn main() {
    let items = std::env::args()
        .nth(1)
        .and_then(|text| text.parse().ok())
        .unwrap_or(4_000);
    let store = GeneratedInput { items };
    let before = peak_kb();
    let limits = InputLimits {
        endpoint: "/v1/completions".to_owned(),
        line_bytes: 1 << 20,
        items: 400_000,
        chunk_bytes: 1 << 22,
        chunks: ChunkSizing {
            items: 0,
            nodes: 8,
            item_us: 0,
            target_ms: 60_000,
            minimum: 8,
            maximum: 500,
        },
    };
    let parts = PartIndex::list(&store, "tenant", "file")
        .await
        .expect("parts");
    let checked = check_input(&store, &parts, &limits).await.expect("checked");
    let (errors, chunks) = (checked.errors.len(), checked.chunks.len());
    println!("{} items, {errors} errors, {chunks} chunks", checked.items);
    println!("peak memory before {before} kB, after {} kB", peak_kb());
}
