//! Counters and histograms of one VM.
