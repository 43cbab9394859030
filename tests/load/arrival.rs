//! The arrivals of a run: determined by their seed, at the rate of the scene.

use std::time::Duration;

use laburnumworks::load::{
    arrival::{self, Arrival, Params},
    scenario::{DEFAULT_TOML, Scenario},
    scene::Scene,
};

const RUN_DURATION: Duration = Duration::from_secs(100);

fn draw(scene: &str, seed: u64, identical_percent: u32) -> Vec<Arrival> {
    let scenario = Scenario::try_from(DEFAULT_TOML).unwrap();
    let params = Params { seed, duration: RUN_DURATION, identical_percent };
    arrival::draw(&scenario, &Scene::named(scene).unwrap(), params)
}

fn first_service(arrivals: &[Arrival]) -> impl Iterator<Item = &Arrival> {
    arrivals.iter().filter(|arrival| arrival.service == 0)
}

fn check_rate(scene: &str, load: f64) {
    let scenario = Scenario::try_from(DEFAULT_TOML).unwrap();
    let expected = scenario.services[0].capacity() * load * RUN_DURATION.as_secs_f64();
    let drawn = first_service(&draw(scene, 1, 0)).count() as f64;
    // Five standard deviations of a Poisson count.
    assert!((drawn - expected).abs() < 5.0 * expected.sqrt(), "{drawn} of {expected}");
}

fn check_burst_rate() {
    let (start, end) = Scene::burst_window(RUN_DURATION);
    let arrivals = draw("burst", 1, 0);
    let during = first_service(&arrivals).filter(|a| (start..end).contains(&a.at)).count() as f64;
    let all = first_service(&arrivals).count() as f64;
    let (burst_seconds, run_seconds) = ((end - start).as_secs_f64(), RUN_DURATION.as_secs_f64());
    let ratio = (during / burst_seconds) / ((all - during) / (run_seconds - burst_seconds));
    assert!((2.7..3.3).contains(&ratio), "{ratio}");
}

fn check_identical_texts(percent: u32) {
    let arrivals = draw("steady-60", 1, percent);
    let mut texts: Vec<&str> = first_service(&arrivals).map(|a| a.text.as_str()).collect();
    let all = texts.len() as f64;
    texts.sort_unstable();
    texts.dedup();
    let found = 100.0 * (1.0 - texts.len() as f64 / all);
    assert!((found - f64::from(percent)).abs() < 3.0, "{found} of {percent}");
}

cases! {
    the_same_seed_draws_the_same => assert_eq!(draw("burst", 7, 20), draw("burst", 7, 20));
    another_seed_draws_others => assert_ne!(draw("burst", 7, 20), draw("burst", 8, 20));
    arrivals_come_in_order => assert!(draw("burst", 1, 0).is_sorted());
    thirty_percent_of_the_slots => check_rate("steady-30", 0.30);
    eighty_five_percent_of_the_slots => check_rate("steady-85", 0.85);
    a_burst_is_three_times_higher => check_burst_rate();
    no_text_is_asked_for_twice => check_identical_texts(0);
    sixty_in_a_hundred_are_identical => check_identical_texts(60);
}
