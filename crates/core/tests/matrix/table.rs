//! The macros that make a case of each cell.

/// Lists the faults, and defines the macro that makes a case of each at a step.
macro_rules! faults {
    ($($name:ident $fault:ident;)*) => {
        /// The names of the rows.
        pub const FAULTS: &[&str] = &[$(stringify!($name)),*];

        macro_rules! cells {
            ($step:expr) => {
                $(
                    #[test]
                    fn $name() {
                        crate::scene::run($step, crate::Fault::$fault);
                    }
                )*
            };
        }
    };
}

/// Makes a module of each process with a module of each step, which holds a
/// case of each fault: `search::taken::straggler`.
macro_rules! steps {
    ($($process:ident { $($name:ident $step:ident;)* })*) => {
        /// The names of the columns by process.
        pub const STEPS: &[(&str, &[&str])] =
            &[$((stringify!($process), &[$(stringify!($name)),*])),*];

        $(
            mod $process {
                $(
                    mod $name {
                        cells!(crate::Step::$step);
                    }
                )*
            }
        )*
    };
}
