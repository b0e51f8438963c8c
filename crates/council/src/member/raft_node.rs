//! State of a member with a disk.

use raft::{Config, RawNode};

use super::snapshots::{IncomingSnapshot, OutgoingSnapshot};
use super::*;
use crate::raft_log::RaftLog;
use crate::store::StoredHardState;

/// Most bytes of uncommitted entries before the leader rejects proposals.
const MAX_UNCOMMITTED_BYTES: u64 = 8 << 20;
/// Most unacknowledged append messages per member.
const MAX_INFLIGHT_MESSAGES: usize = 64;

/// Raft node of a member, with its disk and membership.
pub(super) struct RaftNode {
    pub(super) raft: RawNode<RaftLog>,
    pub(super) disk: Box<dyn Disk>,
    pub(super) id: u64,
    pub(super) voters: Vec<u64>,
    pub(super) learners: Vec<u64>,
    pub(super) names: BTreeMap<u64, String>,
    pub(super) retired: BTreeSet<u64>,
    pub(super) applied: u64,
    /// Hard state as stored on disk.
    pub(super) hard: StoredHardState,
    pub(super) cluster_unsaved: bool,
    pub(super) replaced: bool,
    /// On the leader: proposals to append, proposals in the log, and origins waiting for outcomes.
    pub(super) queue: Vec<(String, Proposal)>,
    pub(super) appended: BTreeSet<ProposalKey>,
    pub(super) waiting_origins: BTreeMap<ProposalKey, Micros>,
    pub(super) join_requests: BTreeMap<String, (u64, Micros)>,
    /// Disks that sent messages: their name, and when last.
    pub(super) last_heard: BTreeMap<u64, (String, Micros)>,
    pub(super) outgoing_snapshots: BTreeMap<u64, OutgoingSnapshot>,
    pub(super) incoming_snapshot: Option<IncomingSnapshot>,
    pub(super) leader_since: Micros,
    pub(super) ticks: u64,
    pub(super) outdated_disk: Option<ConsensusError>,
    /// Committed index that each disk has acknowledged while this member was leader.
    pub(super) acknowledged: BTreeMap<u64, u64>,
}

impl RaftNode {
    pub(super) fn new(
        disk: Box<dyn Disk>,
        me: &str,
        terms: &ConsensusConfig,
    ) -> Result<(RaftNode, u64, Vec<u8>), ConsensusError> {
        let mut disk = disk;
        let mut kept = disk.load()?;
        let mut id = disk.id();
        if seeded_faults::is_active(SeededFault::StrangerVotes) {
            // Seeded fault: identifies a member by its name instead of its disk.
            id = hash_numbers(&me.bytes().map(u64::from).collect::<Vec<_>>()).max(1);
            if kept.whole.index == 1 {
                (kept.whole.voters, kept.whole.roll) = (vec![id], BTreeMap::from([(id, me.into())]));
            }
        }
        let (council, hard, whole) = (kept.council, kept.hard, kept.whole.clone());
        if let Some(name) = whole.roll.get(&id)
            && name != me
        {
            return Err(ConsensusError::Settings(format!("the disk is that of {name}, not of {me}")));
        }
        let elect = (terms.election_timeout / terms.heartbeat_interval) as usize;
        let config = Config {
            id,
            election_tick: elect,
            heartbeat_tick: 1,
            applied: whole.index,
            max_size_per_msg: (terms.max_message_bytes / 2) as u64,
            max_inflight_msgs: MAX_INFLIGHT_MESSAGES,
            max_uncommitted_size: MAX_UNCOMMITTED_BYTES,
            check_quorum: true,
            pre_vote: true,
            ..Config::default()
        };
        let quiet = slog::Logger::root(slog::Discard, slog::o!());
        let raw = RawNode::new(&config, RaftLog::new(kept), &quiet).map_err(raft_error)?;
        let seat = RaftNode {
            raft: raw,
            disk,
            id,
            voters: whole.voters,
            learners: whole.learners,
            names: whole.roll,
            retired: whole.retired,
            applied: whole.index,
            hard,
            cluster_unsaved: false,
            replaced: false,
            queue: Vec::new(),
            appended: BTreeSet::new(),
            waiting_origins: BTreeMap::new(),
            join_requests: BTreeMap::new(),
            last_heard: BTreeMap::new(),
            outgoing_snapshots: BTreeMap::new(),
            incoming_snapshot: None,
            leader_since: 0,
            ticks: 0,
            outdated_disk: None,
            acknowledged: BTreeMap::new(),
        };
        Ok((seat, council, whole.body))
    }

    /// Whether it is the leader.
    pub(super) fn is_leader(&self) -> bool {
        self.raft.raft.state == StateRole::Leader
    }

    /// Whether its disk is a member.
    pub(super) fn is_member(&self) -> bool {
        self.names.contains_key(&self.id)
    }

    /// Name of the leader, if known.
    pub(super) fn leader_name(&self) -> Option<&String> {
        self.names.get(&self.raft.raft.leader_id)
    }

    /// Names of the members, and whether each votes.
    pub(super) fn members(&self) -> BTreeMap<String, bool> {
        self.names.iter().map(|(disk, name)| (name.clone(), self.voters.contains(disk))).collect()
    }

    /// Sets the randomized election timeout. The crate `raft` draws it from the system's random generator; here it is
    /// derived from the seed, so that runs are repeatable, and changes with each term and each long wait.
    pub(super) fn randomize_election_timeout(&mut self, seed: u64) {
        let raft = &mut self.raft.raft;
        let elect = raft.election_timeout() as u64;
        let turn = hash_numbers(&[seed, self.id, raft.term, self.ticks / (4 * elect)]);
        let wait = (elect + turn % elect) as usize;
        if raft.randomized_election_timeout() != wait {
            raft.set_randomized_election_timeout(wait);
        }
    }
}
