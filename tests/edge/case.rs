//! The macro that names each case.

/// Makes a test of each named case: `cases! { name => async { ... }; }`. The
/// block is the body of the test and asserts what must hold; it runs on a
/// runtime of its own, without a time limit.
#[macro_export]
macro_rules! cases {
    ($($(#[$meta:meta])* $name:ident => $body:expr;)*) => {
        $(
            $(#[$meta])*
            #[test]
            fn $name() {
                $crate::case::run($body);
            }
        )*
    };
}

/// Runs the body of a case on one thread.
pub fn run(body: impl Future<Output = ()>) {
    let runtime = tokio::runtime::Builder::new_current_thread().enable_all().build();
    runtime.expect("a runtime can be made").block_on(body);
}
