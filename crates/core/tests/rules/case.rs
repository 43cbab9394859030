//! The macro that turns named cases into tests.

/// Declares a test for each named case: `cases! { name => expression; }`. The
/// expression is the body of the test and asserts what must hold.
#[macro_export]
macro_rules! cases {
    ($($(#[$meta:meta])* $name:ident => $body:expr;)*) => {
        $(
            $(#[$meta])*
            #[test]
            fn $name() {
                $body
            }
        )*
    };
}
