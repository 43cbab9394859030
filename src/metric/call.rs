//! The closed list of calls to the platform's service, by which they are
//! counted.

use laburnum_core::store;

macro_rules! calls {
    ($($call:ident $text:literal;)*) => {
        /// A kind of call to the platform's service.
        #[derive(Clone, Copy, Debug, PartialEq, Eq, PartialOrd, Ord)]
        pub enum Call {
            $(#[doc = concat!("See [`store::Call::", stringify!($call), "`].")] $call,)*
        }

        impl Call {
            /// Every kind, in the order of the list.
            pub const ALL: &[Call] = &[$(Call::$call),*];

            /// The value of the label `kind`.
            pub fn as_str(self) -> &'static str {
                match self {
                    $(Call::$call => $text,)*
                }
            }
        }

        impl From<&store::Call> for Call {
            fn from(call: &store::Call) -> Call {
                match call {
                    $(store::Call::$call { .. } => Call::$call,)*
                }
            }
        }
    };
}

calls! {
    Get "get";
    Scan "scan";
    Peek "peek";
    Swap "swap";
    Remove "remove";
    Grant "grant";
    Keep "keep";
    Watch "watch";
    List "list";
}
