//! Arrivals are the same for the same seed and as many as the load says.

use std::time::Duration;

use laburnumworks::load::{
    arrival::{self, Arrival, Params},
    scenario::{DEFAULT_TOML, Scenario},
    scene::Scene,
};

const LENGTH: Duration = Duration::from_secs(100);

fn draw(scene: &str, seed: u64, identical: u32) -> Vec<Arrival> {
    let scenario = Scenario::try_from(DEFAULT_TOML).unwrap();
    let params = Params { seed, duration: LENGTH, identical_percent: identical };
    arrival::draw(&scenario, &Scene::named(scene).unwrap(), params)
}

fn first_service(arrivals: &[Arrival]) -> impl Iterator<Item = &Arrival> {
    arrivals.iter().filter(|arrival| arrival.service == 0)
}

fn rate_is_the_part_of_the_slots(scene: &str, part: f64) {
    let scenario = Scenario::try_from(DEFAULT_TOML).unwrap();
    let expected = scenario.services[0].capacity() * part * LENGTH.as_secs_f64();
    let drawn = first_service(&draw(scene, 1, 0)).count() as f64;
    // Five standard deviations of a Poisson count.
    assert!((drawn - expected).abs() < 5.0 * expected.sqrt(), "{drawn} of {expected}");
}

fn rate_is_higher_in_a_burst() {
    let (start, end) = Scene::burst(LENGTH);
    let arrivals = draw("burst", 1, 0);
    let during = first_service(&arrivals).filter(|a| (start..end).contains(&a.at)).count() as f64;
    let all = first_service(&arrivals).count() as f64;
    let (span, whole) = ((end - start).as_secs_f64(), LENGTH.as_secs_f64());
    let ratio = (during / span) / ((all - during) / (whole - span));
    assert!((2.7..3.3).contains(&ratio), "{ratio}");
}

fn identical_texts(part: u32) {
    let arrivals = draw("steady-60", 1, part);
    let mut texts: Vec<&str> = first_service(&arrivals).map(|a| a.text.as_str()).collect();
    let all = texts.len() as f64;
    texts.sort_unstable();
    texts.dedup();
    let found = 100.0 * (1.0 - texts.len() as f64 / all);
    assert!((found - f64::from(part)).abs() < 3.0, "{found} of {part}");
}

cases! {
    the_same_seed_draws_the_same => assert_eq!(draw("burst", 7, 20), draw("burst", 7, 20));
    another_seed_draws_others => assert_ne!(draw("burst", 7, 20), draw("burst", 8, 20));
    arrivals_come_in_order => assert!(draw("burst", 1, 0).is_sorted());
    thirty_percent_of_the_slots => rate_is_the_part_of_the_slots("steady-30", 0.30);
    eighty_five_percent_of_the_slots => rate_is_the_part_of_the_slots("steady-85", 0.85);
    a_burst_is_three_times_higher => rate_is_higher_in_a_burst();
    no_text_is_asked_for_twice => identical_texts(0);
    sixty_in_a_hundred_are_identical => identical_texts(60);
}
