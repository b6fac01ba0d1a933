//! The committed message types are what the `.proto` files give.

use googletest::prelude::*;

#[gtest]
fn generated_code_matches_the_proto_files() {
    let scratch = std::env::temp_dir().join(format!("dappleyard-wire-gen-{}", std::process::id()));
    std::fs::create_dir_all(&scratch).unwrap();
    dappleyard_wire_gen::generate(&scratch).unwrap();
    let file = "dappleyard.v1.rs";
    let fresh = std::fs::read_to_string(scratch.join(file)).unwrap();
    let committed =
        std::fs::read_to_string(dappleyard_wire_gen::generated_directory().join(file)).unwrap();
    std::fs::remove_dir_all(&scratch).unwrap();
    expect_true!(fresh == committed, "run `cargo run -p dappleyard-wire-gen`");
}
