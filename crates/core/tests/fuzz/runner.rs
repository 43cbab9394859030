//! Runs a state machine test on a fixed seed, or on one from the environment.

use std::{env, ops::Range};

use proptest::test_runner::{Config, RngAlgorithm, TestRng, TestRunner};
use proptest_state_machine::{ReferenceStateMachine, StateMachineTest};

/// The environment variable with the number of cases to run on a new seed.
const CASES_VARIABLE: &str = "LABURNUM_FUZZ_CASES";

/// The environment variable with the seed for these cases; the default is random.
const SEED_VARIABLE: &str = "LABURNUM_FUZZ_SEED";

/// The number of steps in a case.
const STEPS_PER_CASE: Range<usize> = 1..60;

/// Runs `cases` cases of the test on a fixed seed.
pub fn run_cases<T: StateMachineTest>(seed: u64, cases: u32) {
    let config =
        Config { cases, failure_persistence: None, max_shrink_iters: 4000, ..Config::default() };
    let mut bytes = [0; 32];
    bytes[..8].copy_from_slice(&seed.to_le_bytes());
    let rng = TestRng::from_seed(RngAlgorithm::ChaCha, &bytes);
    let mut runner = TestRunner::new_with_rng(config.clone(), rng);
    let steps = <T::Reference as ReferenceStateMachine>::sequential_strategy(STEPS_PER_CASE);
    let result = runner.run(&steps, |(first, steps, seen)| {
        T::test_sequential(config.clone(), first, steps, seen);
        Ok(())
    });
    result.unwrap_or_else(|e| panic!("seed {seed}: {e}"));
}

/// Runs the cases that the environment requests, if any.
pub fn run_from_env<T: StateMachineTest>() {
    let number = |name| env::var(name).ok().and_then(|text| text.parse::<u64>().ok());
    let Some(cases) = number(CASES_VARIABLE).and_then(|cases| u32::try_from(cases).ok()) else {
        return;
    };
    let seed = number(SEED_VARIABLE).unwrap_or_else(rand::random);
    eprintln!("{cases} cases on seed {seed}");
    run_cases::<T>(seed, cases);
}
