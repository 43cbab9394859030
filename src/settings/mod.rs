//! Settings of one VM: TOML to checked types.
