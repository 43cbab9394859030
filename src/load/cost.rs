//! The cost of the tier itself: the real engine without sockets.
