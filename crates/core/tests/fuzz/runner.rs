//! Runs a state machine on fixed seeds, or longer on new ones.

use std::{env, ops::Range};

use proptest::test_runner::{Config, RngAlgorithm, TestRng, TestRunner};
use proptest_state_machine::{ReferenceStateMachine, StateMachineTest};

/// The variable that asks for a number of runs on a new seed.
const CASES: &str = "LABURNUM_FUZZ_CASES";

/// The variable that gives the seed of these runs.
const SEED: &str = "LABURNUM_FUZZ_SEED";

/// The number of steps of a run.
const STEPS: Range<usize> = 1..60;

/// Runs `cases` cases of the test on a fixed seed.
pub fn run<T: StateMachineTest>(seed: u64, cases: u32) {
    let config =
        Config { cases, failure_persistence: None, max_shrink_iters: 4000, ..Config::default() };
    let mut bytes = [0; 32];
    bytes[..8].copy_from_slice(&seed.to_le_bytes());
    let rng = TestRng::from_seed(RngAlgorithm::ChaCha, &bytes);
    let mut runner = TestRunner::new_with_rng(config.clone(), rng);
    let steps = <T::Reference as ReferenceStateMachine>::sequential_strategy(STEPS);
    let result = runner.run(&steps, |(first, steps, seen)| {
        T::test_sequential(config.clone(), first, steps, seen);
        Ok(())
    });
    result.unwrap_or_else(|e| panic!("seed {seed}: {e}"));
}

/// Runs on the seed that is asked for, if any runs are asked for.
pub fn run_longer<T: StateMachineTest>() {
    let number = |name| env::var(name).ok().and_then(|text| text.parse::<u64>().ok());
    let Some(cases) = number(CASES).and_then(|cases| u32::try_from(cases).ok()) else { return };
    let seed = number(SEED).unwrap_or_else(rand::random);
    eprintln!("{cases} cases on seed {seed}");
    run::<T>(seed, cases);
}
