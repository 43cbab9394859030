//! The fault matrix: every fault at every step of a search, an operation, a
//! publication, a join and a shutdown. See `docs/PROOF.md`.

#[allow(dead_code, reason = "each test crate uses a part of the world")]
#[path = "../world/mod.rs"]
mod world;
#[macro_use]
mod table;
mod cell;
mod fault;
mod page;
mod step;

use fault::Fault;
use step::Step;

faults! {
    straggler Straggler;
    replica_lost ReplicaLost;
    repartition Repartition;
    store_down StoreDown;
    store_slow StoreSlow;
    answer_lost AnswerLost;
    lease_lapsed LeaseLapsed;
    store_restored StoreRestored;
    operators_racing OperatorsRacing;
    poison Poison;
    silent_connection SilentConnection;
    vm_killed VmKilled;
    vm_paused VmPaused;
    vm_replaced VmReplaced;
    target_draining TargetDraining;
    target_shedding TargetShedding;
    cold_start ColdStart;
    cut_both_ways CutBothWays;
    cut_one_way CutOneWay;
}

steps! {
    search {
        taken SearchTaken;
        sent SearchSent;
        waiting SearchWaiting;
        running SearchRunning;
        replied SearchReplied;
        merged SearchMerged;
    }
    operation {
        claim_sent ClaimSent;
        claim_written ClaimWritten;
        granted Granted;
        sent OperationSent;
        running OperationRunning;
        replied OperationReplied;
        recorded OperationRecorded;
    }
    publication {
        sent PublicationSent;
        written PublicationWritten;
        answered PublicationAnswered;
        spreading PublicationSpreading;
    }
    join {
        started JoinStarted;
        list_read ListRead;
        document_read DocumentRead;
        ready JoinReady;
    }
    shutdown {
        asked LeaveAsked;
        announced LeaveAnnounced;
        draining LeaveDraining;
        ended LeaveEnded;
    }
}
