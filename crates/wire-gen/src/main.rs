//! Writes the generated message types into `crates/wire/src/generated`.

fn main() -> Result<(), dappleyard_wire_gen::GenerateError> {
    dappleyard_wire_gen::generate(&dappleyard_wire_gen::generated_directory())
}
