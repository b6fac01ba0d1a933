//! Regenerates the message types of `dappleyard-wire` from its `.proto` files, with a
//! compiler written in Rust, so that neither the build nor this step needs `protoc`.

use std::path::{Path, PathBuf};

use derive_more::{Display, Error, From};

/// Why the message types could not be generated.
#[derive(Debug, Display, Error, From)]
pub enum GenerateError {
    /// The `.proto` files do not compile.
    #[display("the .proto files do not compile: {_0}")]
    Compile(protox::Error),
    /// The generated code could not be written.
    #[display("generated code could not be written: {_0}")]
    Write(std::io::Error),
}

/// The directory of the `.proto` files in this repository.
pub fn proto_directory() -> PathBuf {
    Path::new(env!("CARGO_MANIFEST_DIR")).join("../wire/proto")
}

/// The directory of the committed generated code.
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
