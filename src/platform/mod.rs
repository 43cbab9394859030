//! The client of the platform's service.
