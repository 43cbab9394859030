//! The exit codes of all commands. A test compares the table in
//! docs/OPERATING.md with this list.

use std::process::ExitCode;

macro_rules! exits {
    ($($(#[$doc:meta])* $exit:ident $code:literal $meaning:literal;)*) => {
        /// How a command ended.
        #[derive(Clone, Copy, Debug, PartialEq, Eq, PartialOrd, Ord)]
        pub enum Exit {
            $($(#[$doc])* $exit,)*
        }

        impl Exit {
            /// Every exit, in the order of the codes.
            pub const ALL: &[Exit] = &[$(Exit::$exit),*];

            /// The exit code of the process.
            pub fn code(self) -> u8 {
                match self {
                    $(Exit::$exit => $code,)*
                }
            }

            /// What the code means, in the words of docs/OPERATING.md.
            pub fn meaning(self) -> &'static str {
                match self {
                    $(Exit::$exit => $meaning,)*
                }
            }
        }
    };
}

exits! {
    /// The command succeeded.
    Done 0 "the command did what it was asked";
    /// The command failed for a reason that no other code covers.
    Failed 1 "the operation failed";
    /// The arguments are invalid.
    Usage 2 "the arguments are wrong";
    /// A settings or profiles file is invalid.
    Invalid 3 "a settings or profiles file is invalid";
    /// A VM refused the request and nothing ran.
    Refused 4 "the request was refused and nothing of it ran";
    /// No VM answered and nothing was sent.
    Unreachable 5 "the VM could not be reached and nothing was sent";
    /// The request may have run.
    Unsettled 6 "the request ran or may have run, without an answer";
}

impl From<Exit> for ExitCode {
    fn from(exit: Exit) -> ExitCode {
        ExitCode::from(exit.code())
    }
}
