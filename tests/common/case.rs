//! The macro that defines named test cases.

/// Defines a test for each named case: `cases! { name => expression; }`. The
/// expression is the body of the test and makes the assertions. After `async:`
/// the bodies may await; each runs on its own runtime and fails after 30 s.
#[macro_export]
macro_rules! cases {
    (async: $($(#[$meta:meta])* $name:ident => $body:expr;)*) => {
        $(
            $(#[$meta])*
            #[test]
            fn $name() {
                let limit = std::time::Duration::from_secs(30);
                let runtime =
                    tokio::runtime::Builder::new_current_thread().enable_all().build().unwrap();
                let body = async { tokio::time::timeout(limit, async { $body }).await };
                runtime.block_on(body).expect("the case takes too long");
            }
        )*
    };
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
