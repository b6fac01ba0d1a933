//! Generates the message types of `dappleyard-wire` from its `.proto` files with a compiler written in
//! Rust, so that `protoc` is not needed.

use std::path::{Path, PathBuf};

use derive_more::{Display, Error, From};

/// Error of [`generate`].
#[derive(Debug, Display, Error, From)]
pub enum GenerateError {
    /// The `.proto` files failed to compile.
    #[display("failed to compile .proto files: {_0}")]
    Compile(protox::Error),
    /// Writing the generated code failed.
    #[display("failed to write generated code: {_0}")]
    Write(std::io::Error),
}

/// Directory of the `.proto` files.
pub fn proto_directory() -> PathBuf {
    Path::new(env!("CARGO_MANIFEST_DIR")).join("../wire/proto")
}

/// Directory of the committed generated code.
pub fn generated_directory() -> PathBuf {
    Path::new(env!("CARGO_MANIFEST_DIR")).join("../wire/src/generated")
}

/// Writes the generated code into `output`.
pub fn generate(output: &Path) -> Result<(), GenerateError> {
    let files = ["data.proto", "gossip.proto", "rows.proto"];
    let descriptors = protox::compile(files, [proto_directory()])?;
    prost_build::Config::new()
        .out_dir(output)
        .btree_map(["."])
        .compile_fds(descriptors)?;
    Ok(())
}
