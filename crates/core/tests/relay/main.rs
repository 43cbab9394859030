//! Tests of the decisions that forward requests by route, in virtual time.

#[macro_use]
#[path = "../rules/case.rs"]
mod case;
mod harness;
mod store;
mod fleet;
mod stops;
mod answers;
mod budget;
mod feed;
mod gather;
mod hedges;
mod hops;
mod merge;
mod notices;
mod once;
mod outages;
mod restores;
mod reading;
mod returns;
mod routes;
mod suspects;
mod targets;
mod unheld;
mod waits;
