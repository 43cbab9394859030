//! The platform's service goes away and comes back from an older copy.

use laburnum_core::claims::layout::FLOOR_KEY;

use super::{
    Delivery, World,
    platform::{self, Drill},
};

impl World {
    /// Lets the platform's service go away and come back from an older copy. Nothing
    /// happens if it is away, or if the copy has no floor of the claims: such a loss is
    /// not covered, see `docs/design/claims.md`.
    pub fn drill(&mut self, drill: Drill) {
        let now = self.now;
        let copy = self.platform().copy_of(now, drill.age);
        if self.platform().is_away || !copy.values.contains_key(FLOOR_KEY) {
            return;
        }
        let underway = self.take_replies();
        let answers = self.platform().go_away(now, drill, underway);
        for answer in answers {
            self.schedule(answer.at, Delivery::StoreReply(answer));
        }
        self.is_list_old = true;
        let end = now + drill.away;
        self.schedule(end, Delivery::StoreReturn(Box::new(copy)));
        self.schedule(end + drill.rewrite, Delivery::ListRewrite);
    }

    /// Takes the replies of the platform's service that are under way.
    fn take_replies(&mut self) -> Vec<platform::Answer> {
        let is_reply = |delivery: &Delivery| matches!(delivery, Delivery::StoreReply(_));
        let replies = self.pending.extract_if(.., |_, delivery| is_reply(delivery));
        let answers = replies.filter_map(|(_, delivery)| match delivery {
            Delivery::StoreReply(answer) => Some(answer),
            _ => None,
        });
        answers.collect()
    }

    /// Writes the platform's list, unless that waits until the service is back and the
    /// deployment writes the whole list again.
    pub(super) fn set_list(&mut self, (vms, targets): (platform::Vms, platform::Targets)) {
        if !self.is_list_old {
            let now = self.now;
            self.platform().set_list(now, vms, targets);
        }
    }

    /// Writes the present list again that the platform's service has lost.
    pub(super) fn rewrite_list(&mut self) {
        // A later return may have begun since.
        if self.platform().is_away {
            return;
        }
        self.is_list_old = false;
        self.update_list();
    }
}
