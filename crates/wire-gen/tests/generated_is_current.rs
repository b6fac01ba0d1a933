//! Checks that the committed message types match the `.proto` files.

use googletest::prelude::*;

#[gtest]
fn generated_code_matches_the_proto_files() {
    let output_directory =
        std::env::temp_dir().join(format!("dappleyard-wire-gen-{}", std::process::id()));
    std::fs::create_dir_all(&output_directory).unwrap();
    dappleyard_wire_gen::generate(&output_directory).unwrap();
    let file = "dappleyard.v1.rs";
    let generated = std::fs::read_to_string(output_directory.join(file)).unwrap();
    let committed =
        std::fs::read_to_string(dappleyard_wire_gen::generated_directory().join(file)).unwrap();
    std::fs::remove_dir_all(&output_directory).unwrap();
    expect_true!(
        generated == committed,
        "generated code is stale; run `cargo run -p dappleyard-wire-gen`"
    );
}
