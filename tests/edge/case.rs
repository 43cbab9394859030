//! The macro that names each case.

use std::time::Duration;

use tokio::time::timeout;

/// Makes a test of each named case: `cases! { name => async { ... }; }`. The
/// block is the body of the test and asserts what must hold; it runs on a
/// runtime of its own and fails after [`TIME_LIMIT`].
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

/// The time within which a case must end.
const TIME_LIMIT: Duration = Duration::from_secs(30);

/// Runs the body of a case on one thread.
pub fn run(body: impl Future<Output = ()>) {
    let runtime = tokio::runtime::Builder::new_current_thread().enable_all().build();
    let limited = async { timeout(TIME_LIMIT, body).await };
    runtime.expect("a runtime can be made").block_on(limited).expect("the case takes too long");
}
