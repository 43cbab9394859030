//! The log: the content of a line, the limit on the rate of an event and the count
//! of lost lines.

use std::{
    io::{self, Write},
    sync::{Arc, Barrier},
    time::Duration,
};

use laburnum_core::{
    id::{Origin, Query},
    log::{Event, Level, Line},
    name::Name,
    time::Instant,
};
use laburnumworks::{
    log::{Writer, rate::Limiter},
    settings::control::{Format, Log},
};

use crate::harness::Buffer;

/// Blocks at its first write until the test reaches `released`.
struct BlockingWriter {
    reached: Arc<Barrier>,
    released: Arc<Barrier>,
    is_first: bool,
}

impl Write for BlockingWriter {
    fn write(&mut self, bytes: &[u8]) -> io::Result<usize> {
        if std::mem::take(&mut self.is_first) {
            self.reached.wait();
            self.released.wait();
        }
        Ok(bytes.len())
    }

    fn flush(&mut self) -> io::Result<()> {
        Ok(())
    }
}

fn settings(format: Format) -> Log {
    Log { format, level: Level::Info, queue_lines: 64, lines_per_second: 1 }
}

fn vm() -> Name {
    Name::try_from("vm-1").unwrap()
}

/// The text that the log writes for `lines`, each with its time in milliseconds.
fn logged_text(format: Format, lines: &[(u64, Line)]) -> String {
    let buffer = Buffer::default();
    let (writer, guard) = Writer::new(&settings(format), &vm(), Box::new(buffer.clone()));
    for (millis, line) in lines {
        writer.write(line, at(*millis));
    }
    drop(writer);
    drop(guard);
    buffer.text()
}

fn logged_json(lines: &[(u64, Line)]) -> Vec<serde_json::Value> {
    logged_text(Format::Json, lines)
        .lines()
        .map(|line| serde_json::from_str(line).unwrap())
        .collect()
}

fn at(millis: u64) -> Instant {
    Instant(millis * 1000)
}

fn line(event: Event) -> Line {
    Line::new(event, vec![("target", "t-1".to_owned())])
}

cases! {
    a_json_line_holds_number_text_and_fields => {
        let query = Query { origin: Origin(1), sequence: 2 };
        let line = Line { query: Some(query), ..line(Event::ConnectionLost) };
        let found = &logged_json(&[(0, line)])[0];
        assert_eq!(found["event"], 302);
        assert_eq!(found["msg"], "connection to target lost");
        assert_eq!(found["level"], "WARN");
        assert_eq!(found["vm"], "vm-1");
        assert_eq!(found["target"], "t-1");
        assert_eq!(found["request"], "0000000000000001-2");
        assert!(found.get("suppressed").is_none());
    };
    a_text_line_holds_text_number_and_fields => {
        let text = logged_text(Format::Text, &[(0, line(Event::TargetDraining))]);
        assert!(text.contains("target is draining"), "{text}");
        assert!(text.contains("event: 304"), "{text}");
        assert!(text.contains("target: t-1"), "{text}");
    };
    a_level_that_is_not_wanted_is_not_written => {
        assert!(logged_json(&[(0, line(Event::ConnectionOpened))]).is_empty());
    };
    lines_beyond_the_rate_are_suppressed_and_counted => {
        let flood = |millis| (millis, line(Event::ConnectionLost));
        let found = logged_json(&[flood(0), flood(1), flood(2), flood(3), flood(2000)]);
        assert_eq!(found.len(), 3);
        assert_eq!(found[2]["suppressed"], 2);
    };
    the_limit_on_one_event_does_not_suppress_others => {
        let mut limiter = Limiter::new(1);
        while limiter.admit(Event::ConnectionLost, at(0)).is_some() {}
        assert_eq!(limiter.admit(Event::TargetDraining, at(0)), Some(0));
    };
    suppressed_lines_are_reported_once => {
        let mut limiter = Limiter::new(1);
        while limiter.admit(Event::ConnectionLost, at(0)).is_some() {}
        assert!(limiter.due(at(0)).is_empty());
        assert_eq!(limiter.due(at(1000)), [(Event::ConnectionLost, 1)]);
        assert!(limiter.due(at(5000)).is_empty());
    };
    unused_rate_accumulates_to_two_seconds_at_most => {
        let mut limiter = Limiter::new(10);
        limiter.admit(Event::ConnectionLost, at(0));
        let later = Instant::default() + Duration::from_secs(3600);
        let admitted = (0..100).filter(|_| limiter.admit(Event::ConnectionLost, later).is_some());
        assert_eq!(admitted.count(), 20);
    };
    a_clock_that_stands_still_admits_no_more => {
        let mut limiter = Limiter::new(10);
        let admitted = (0..100).filter(|_| limiter.admit(Event::ConnectionLost, at(7)).is_some());
        assert_eq!(admitted.count(), 20);
    };
    lines_beyond_the_queue_are_counted_and_block_nobody => {
        let (reached, released) = (Arc::new(Barrier::new(2)), Arc::new(Barrier::new(2)));
        let output = BlockingWriter {
            reached: Arc::clone(&reached),
            released: Arc::clone(&released),
            is_first: true,
        };
        let settings = Log { queue_lines: 16, lines_per_second: 1000, ..settings(Format::Json) };
        let (writer, guard) = Writer::new(&settings, &vm(), Box::new(output));
        writer.write(&line(Event::ConnectionLost), at(0));
        reached.wait();
        for _ in 0..20 {
            writer.write(&line(Event::ConnectionLost), at(0));
        }
        assert_eq!(writer.lost(), 4);
        released.wait();
        drop(writer);
        drop(guard);
    };
}
