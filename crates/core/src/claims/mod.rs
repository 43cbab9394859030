//! The decisions that let an operation run at most once: claims in the platform's service.
