//! The macros that define a test for each cell.

/// Lists the faults and defines a macro that creates a test for each at a step.
macro_rules! faults {
    ($($name:ident $fault:ident;)*) => {
        /// The names of the faults, the rows of the matrix.
        pub const FAULTS: &[&str] = &[$(stringify!($name)),*];

        macro_rules! cells {
            ($step:expr) => {
                $(
                    #[test]
                    fn $name() {
                        crate::cell::run_cell($step, crate::Fault::$fault);
                    }
                )*
            };
        }
    };
}

/// Creates a module for each process with a module for each step, which contains a test
/// for each fault: `search::taken::straggler`.
macro_rules! steps {
    ($($process:ident { $($name:ident $step:ident;)* })*) => {
        /// The names of the steps by process, the columns of the matrix.
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
