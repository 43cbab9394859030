//! The decisions of the control thread: membership and publication of profiles.
