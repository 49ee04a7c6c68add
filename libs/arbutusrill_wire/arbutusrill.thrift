// Messages between arbutusrill processes.
//
// Compatibility rules: new fields get a new number and are optional for readers. Field numbers are never reused.
// Readers skip unknown fields.

enum Verdict {
  NOT_RUN = 0,
  MAY_HAVE_RUN = 1,
  RAN = 2
}

// Raised by any call that is rejected. `leader` is the RPC address to try instead, if known.
exception Refused {
  1: string code,
  2: string message,
  3: Verdict verdict = Verdict.NOT_RUN,
  4: i64 retry_after_ms = -1,
  5: string leader = ""
}

struct LogEntry {
  1: i64 index,
  2: i64 term,
  3: i32 kind = 0,          // 0: command, 1: no-op, 2: membership change
  4: binary data
}

struct VoteRequest {
  1: i64 term,
  2: string candidate,
  3: i64 last_index,
  4: i64 last_term,
  5: bool pre_vote = false,
  6: string disk_id = "",
  7: string target = ""     // member ID of the receiver: RPC address "/" disk ID
}

struct VoteReply {
  1: i64 term,
  2: bool granted
}

struct AppendRequest {
  1: i64 term,
  2: string leader,
  3: i64 previous_index,
  4: i64 previous_term,
  5: list<LogEntry> entries,
  6: i64 commit_index,
  7: string disk_id = "",
  8: string target = "",    // member ID of the receiver
  9: i64 previous_chain = 0 // hash chain of the log up to previous_index
}

struct AppendReply {
  1: i64 term,
  2: bool success,
  3: i64 match_index,       // on success the highest index known to match, else a hint for the next index to send
  4: string disk_id = ""
}

struct SnapshotRequest {
  1: i64 term,
  2: string leader,
  3: i64 last_index,
  4: i64 last_term,
  5: i64 offset,
  6: binary data,
  7: bool done = false,
  8: binary membership,
  9: string target = ""     // member ID of the receiver
}

struct SnapshotReply {
  1: i64 term,
  2: i64 next_offset
}

struct HelloReply {
  1: string member,         // member ID of the replying replica
  2: string group = "",     // group of the replica, empty before it has joined one
  3: string fault = "",     // why the replica does not participate, empty if it does
  4: i32 log_format = 0,    // 1: knows entries that change the document by patches; 2: evacuations as well
  5: bool forms_no_group = false   // the replica has not been told the initial voters, and never will be
}

service Raft {
  VoteReply vote(1: VoteRequest request) throws (1: Refused refused),
  AppendReply append(1: AppendRequest request) throws (1: Refused refused),
  SnapshotReply install_snapshot(1: SnapshotRequest request) throws (1: Refused refused),
  HelloReply hello(1: string caller) throws (1: Refused refused)
}

struct Route {
  1: string method = "*",       // HTTP method or "*"
  2: string prefix = "/",       // path prefix within the service
  3: bool open = false,         // true: no API key is needed
  4: bool repeatable = true     // false: the call must run at most once
}

struct SetDefault { 1: string name, 2: string value_json }
struct UnsetDefault { 1: string name }
struct AddException {
  1: string id, 2: string default_name, 3: string scope_kind, 4: string scope_name,
  5: string value_json, 6: string reason
}
struct RemoveException { 1: string id }
struct PutWorkspace { 1: string name, 2: double rate, 3: double burst, 4: double weight = 1.0 }
struct RemoveWorkspace { 1: string name }
struct IssueKey { 1: string key_id, 2: string key_hash, 3: string workspace }
struct WithdrawKey { 1: string key_id }
struct PutService { 1: string name, 2: list<Route> routes }
struct RemoveService { 1: string name }
struct PutVm {
  1: string id, 2: string http_address, 3: string rpc_address, 4: string data_centre,
  5: i64 incarnation, 6: string state      // live, draining or dead
}
struct AssignPool { 1: string name, 2: string kind, 3: string owner, 4: i64 owner_incarnation, 5: i64 epoch }
struct ReleasePool { 1: string name, 2: string owner, 3: i64 epoch }
struct PutOrder {
  1: string id, 2: string server, 3: string pool, 4: string action, 5: string argument_json, 6: string state,
  7: i64 fencing = 0, 8: string detail = "",
  9: i64 at_ms = 0               // time of the last change, set by the state machine
}
struct SetFeatureLevel { 1: i32 level }
struct ForgetVm { 1: string id, 2: i64 incarnation }      // feature level 2

// Complete configuration as one document; the highest version applies. `body` is compressed with zlib. `layout` divides
// it into parts, which patches refer to; it is empty while a replica may not know patches.
struct PutDocument { 1: i64 version, 2: binary body, 3: binary layout }

// Change of the document from one version to a higher one. It applies only to exactly that version.
struct PatchDocument { 1: i64 base_version, 2: i64 version, 3: binary patch }

// Model that an engine has loaded.
struct LoadedModel { 1: string name, 2: i64 version }

// Latest announcement of a backend server.
struct BackendRecord {
  1: string id,
  2: i64 started_ms,             // start time by the wall clock of the server; larger for a later start
  3: i64 sequence,               // increases with each announcement after one start
  4: string service_name,
  5: string address,             // IP:port
  6: string data_centre,
  7: i32 slots,
  8: bool draining = false,
  9: string stage = "",          // prefill, decode, or empty for a plain service
  10: list<LoadedModel> models,
  11: string software = "",
  12: string ordered_stage = "",  // set by the leader: the stage that the engine was ordered to change to
  50: i32 cold_ms = 0            // time for which the server stays cold, from its announcement on
}

// Departure of a backend server: announcements of that start up to `sequence` are ignored.
struct PutDeparture { 1: string id, 2: i64 started_ms, 3: i64 sequence }

// Latest known start of a backend server, and its latest announcement; zeros for an unknown server.
struct BackendStart { 1: i64 started_ms = 0, 2: i64 sequence = 0 }

// Backend servers known to the leader, replicated for its successor.
struct PutBackends { 1: list<BackendRecord> backends }

// Crash of a backend server. The times are those of the attempts that broke at it: from the start of the earliest one
// to the first break, in milliseconds of a clock that only the leader who recorded them can read.
struct EngineCrash { 1: string backend, 2: i64 started_ms, 3: i64 began_ms = 0, 4: i64 ended_ms = 0 }

// Part of prompts whose requests broke at engines that crashed, and none of which was answered since.
struct SuspectedPart {
  1: string id,
  2: list<i32> crashes,          // positions in the list of crashes
  3: i32 bars = 0,               // number of times that the part was barred
  4: bool barred = false,
  5: bool answered_lately = false
}

// Suspected parts of prompts as the leader last recorded them; replaces the earlier record.
struct PutPromptSuspects { 1: list<EngineCrash> crashes, 2: list<SuspectedPart> parts }

// Order that nothing more is sent to the backend servers of a data centre, or its withdrawal.
struct PutEvacuation { 1: string data_centre, 2: bool evacuated }

// Data centres to whose backend servers nothing more is sent. `revision` increases with each change and is never reset.
// A leader adds its term and the number of orders that it has begun to commit in this term; earlier versions send no number.
struct Evacuations { 1: i64 revision = 0, 2: list<string> data_centres, 3: i64 term = 0, 4: i64 order_number = -1 }

struct JournalBegin {
  1: string workspace, 2: string key, 3: binary digest, 4: string vm, 5: i64 incarnation
}
struct JournalFinish {
  1: string workspace, 2: string key, 3: i32 attempt, 4: string status,   // done, not_run, ran or unknown
  5: i32 http_status = 0, 6: string headers_json = "", 7: binary body,
  8: string begin_id = ""        // request ID of the JournalBegin; with it, `attempt` may be 0 if the reply was lost
}
// `elapsed_ms` is the time since the last sweep by the leader's monotonic clock; `before_ms` is no longer used.
struct JournalSweep { 1: i64 before_ms = 0, 2: i64 elapsed_ms = 0 }

// Command of the replicated state machine. Exactly one of the fields from number 10 on is set.
struct Command {
  1: string request_id,
  2: string actor,
  3: i64 at_ms,                  // wall clock of the proposer, milliseconds since the Unix epoch
  4: i64 if_revision = -1,       // apply only at this revision (compare-and-set); -1: at any
  10: SetDefault set_default,
  11: UnsetDefault unset_default,
  12: AddException add_exception,
  13: RemoveException remove_exception,
  14: PutWorkspace put_workspace,
  15: RemoveWorkspace remove_workspace,
  16: IssueKey issue_key,
  17: WithdrawKey withdraw_key,
  18: PutService put_service,
  19: RemoveService remove_service,
  20: PutVm put_vm,
  21: AssignPool assign_pool,
  22: ReleasePool release_pool,
  23: PutOrder put_order,
  24: SetFeatureLevel set_feature_level,
  25: ForgetVm forget_vm,
  30: PutDocument put_document,   // does not change the revision
  31: PutDeparture put_departure, // does not change the revision
  32: PutBackends put_backends,   // does not change the revision
  33: PutPromptSuspects put_prompt_suspects, // does not change the revision
  34: PatchDocument patch_document, // does not change the revision
  40: JournalBegin journal_begin,
  41: JournalFinish journal_finish,
  42: JournalSweep journal_sweep,
  50: PutEvacuation put_evacuation // feature level 3; does not change the revision
}

// Result of a command in the state machine.
struct Outcome {
  1: bool accepted,
  2: i64 revision,
  3: string code = "",           // error code if not accepted
  4: string message = "",
  5: binary detail               // journal_begin: a serialized BeginAnswer; issue_key: the key's ID
}

struct ExceptionRecord {
  1: string id, 2: string default_name, 3: string scope_kind, 4: string scope_name, 5: string value_json,
  6: string reason, 7: string actor, 8: i64 at_ms
}
struct KeyRecord {
  1: string key_id, 2: string key_hash, 3: string workspace, 4: i64 issued_ms, 5: i64 withdrawn_ms = 0
}
struct FirstAnswer { 1: string request_id, 2: Outcome outcome }
struct ConfigSnapshot {
  1: i64 revision,
  2: map<string, string> defaults,
  3: list<ExceptionRecord> exceptions,
  4: list<PutWorkspace> workspaces,
  5: list<KeyRecord> keys,
  6: list<PutService> services,
  7: list<PutVm> vms,
  8: list<AssignPool> pools,
  9: list<PutOrder> orders,
  10: i32 feature_level = 1,
  11: list<FirstAnswer> first_answers,
  12: i64 clock_ms = 0,
  13: PutDocument document,
  14: list<PutDeparture> departures,
  15: list<BackendRecord> backends,
  16: PutPromptSuspects prompt_suspects,
  50: Evacuations evacuations
}

struct JournalRecord {
  1: string workspace, 2: string key, 3: string digest, 4: i32 attempt, 5: string status, 6: string vm,
  7: i64 incarnation, 8: i64 at_ms, 9: i32 http_status, 10: string headers_json, 11: binary body,
  12: list<string> begin_ids, 13: i32 outstanding
}
struct JournalSnapshot { 1: list<JournalRecord> records, 2: i64 clock_ms }

struct FollowRequest {
  1: string vm,
  2: i64 incarnation,
  3: string http_address,
  4: string rpc_address,
  5: string data_centre,
  6: string state,               // live or draining
  7: i64 revision,               // highest revision that the caller has applied
  8: i32 wait_ms
}

struct RevisionedCommand {
  1: i64 revision,
  2: Command command
}

struct FollowReply {
  1: list<RevisionedCommand> commands,
  2: ConfigSnapshot snapshot,            // sent instead of commands if the caller is too far behind
  3: i64 confirmed_revision,     // the caller's state is current once it has applied this revision
  4: i32 lease_ms,               // VM lease, starting when the caller sent the request
  5: string leader
}

// Unspent tokens of an earlier grant; `issued_us` and `epoch` are those of the grant.
struct ReturnedTokens { 1: double tokens, 2: i64 issued_us, 3: i64 epoch }

struct GrantItem {
  1: string workspace,
  2: double wanted,              // tokens, including `needed`
  3: double returned = 0,        // no longer used, see `returns`
  4: double needed = 0,          // smallest grant that the caller can use
  5: list<ReturnedTokens> returns
}
// A request with the `sequence` of the previous one gets the same reply again; an older one is rejected.
struct GrantRequest {
  1: string vm, 2: i64 incarnation, 3: list<GrantItem> items, 4: i64 epoch = 0, 5: i64 sequence = 0
}
struct Grant {
  1: string workspace,
  2: double tokens,
  3: i32 lease_ms,               // starting when the caller first sent the request
  4: double capacity,            // largest single charge that can be granted
  5: i32 retry_after_ms = 0,
  6: i64 issued_us = 0           // time of the grant by the owner's clock, sent back with returned tokens
}
struct GrantReply { 1: list<Grant> grants, 2: i64 epoch }

struct BeginAnswer {
  1: string status,              // started, done, ran, running, unknown or mismatch
  2: i32 attempt = 0,
  3: i32 http_status = 0,
  4: string headers_json = "",
  5: binary body
}

struct BurnRow {
  1: string workspace, 2: string route, 3: string target, 4: i64 window_s, 5: i64 good, 6: i64 bad
}

struct ReplicaStatus {
  1: string id, 2: string role, 3: i64 term, 4: string leader, 5: i64 commit_index, 6: i64 applied_index,
  7: i64 revision, 8: list<string> voters, 9: list<string> learners, 10: string fault = ""
}

// Member of the control group as seen by the leader.
struct ReplicaRow {
  1: string id,             // member ID: RPC address "/" disk ID
  2: string address,
  3: string kind,           // voter or learner
  4: bool leads,
  5: i64 match_index,
  6: i64 silent_ms          // time since its last reply, -1 if there was none
}

service Control {
  Outcome propose(1: Command command) throws (1: Refused refused),
  FollowReply follow(1: FollowRequest request) throws (1: Refused refused),
  GrantReply grant(1: GrantRequest request) throws (1: Refused refused),
  BeginAnswer begin_call(1: Command command) throws (1: Refused refused),
  Outcome finish_call(1: Command command) throws (1: Refused refused),
  void report_burn(1: string vm, 2: i64 incarnation, 3: list<BurnRow> rows) throws (1: Refused refused),
  void open_pool(1: string name, 2: string kind) throws (1: Refused refused),   // kind: model or service
  ReplicaStatus replica_status() throws (1: Refused refused),
  list<ReplicaRow> replicas() throws (1: Refused refused),
  // Replaces member `old` (member ID or RPC address) by the replica at RPC address `replacement`; returns its ID.
  string replace_replica(1: string old, 2: string replacement) throws (1: Refused refused)
}

// State of a backend server, which it announces every half second.
struct Announcement {
  1: string id,
  2: i64 incarnation,
  3: string address,             // http://IP:port
  4: string role,                // prefill, decode, both or plain
  5: list<string> pools,         // model or service names
  6: string data_centre,
  7: i32 slots,
  8: i64 memory_bytes = 0,
  9: double link_bytes_per_s = 0,
  10: double prefill_tokens_per_s = 0,
  11: double token_gap_s = 0,
  12: bool checks_fencing = false,
  13: string state = "ready",    // ready, draining or leaving
  14: i32 running = 0,           // load report, may be outdated
  15: i32 queued = 0,
  16: list<string> versions,
  17: i64 report_seq = 0,
  18: i64 kv_bytes_per_token = 0
}

struct CacheEvents {
  1: string id,
  2: i64 incarnation,
  3: i64 first_seq,
  4: list<string> added,         // prefix hashes of blocks
  5: list<string> removed,
  6: bool full = false           // `added` is the whole cache content, after a resynchronization
}

struct AcquireRequest {
  1: string pool,
  2: string ticket,              // request ID; polling again with it keeps the position in the queue
  3: string vm,
  4: i64 incarnation,
  5: string workspace,
  6: double weight = 1.0,
  7: string latency_class,       // lookup, interactive or briefing
  8: i64 deadline_ms,            // relative to when the request is sent
  9: i64 prompt_tokens = 0,
  10: i64 output_tokens = 0,
  11: list<string> prefix_blocks,
  12: string data_centre = "",
  13: i32 wait_ms = 300,
  14: list<string> avoid,        // backend servers that have failed this request
  15: i64 epoch = 0
}

struct Assignment {
  1: string ticket,
  2: string prefill_server, 3: string prefill_address,
  4: string decode_server, 5: string decode_address,
  6: i64 decode_incarnation = 0,
  7: double predicted_first_token_s = 0,
  8: i32 priority = 0
}

struct AcquireReply {
  1: string status,              // assigned, pending or refused
  2: Assignment assignment,
  3: string code = "",
  4: string message = "",
  5: i64 retry_after_ms = -1
}

struct ReleaseRequest {
  1: string pool, 2: string ticket, 3: string outcome,     // done, gone, prefill_failed, decode_failed, not_sent
  4: double prefill_s = 0, 5: double first_token_s = 0, 6: i64 tokens = 0, 7: double decode_s = 0,
  8: i64 cached_tokens = 0, 9: string failed_server = ""
}

struct HeldTicket { 1: string ticket, 2: string pool, 3: Assignment assignment, 4: string workspace, 5: string stage }
struct RenewRequest { 1: string vm, 2: i64 incarnation, 3: list<HeldTicket> tickets }

struct ServerStatus {
  1: Announcement announcement, 2: i32 assigned, 3: double heard_s, 4: string health, 5: i64 cached_blocks
}
struct PoolStatus { 1: string pool, 2: i64 epoch, 3: i32 queued, 4: list<ServerStatus> servers }

service Pool {
  AcquireReply acquire(1: AcquireRequest request) throws (1: Refused refused),
  void release(1: ReleaseRequest request) throws (1: Refused refused),
  void renew(1: RenewRequest request) throws (1: Refused refused),
  bool announce(1: Announcement announcement) throws (1: Refused refused),
  bool cache_events(1: CacheEvents events) throws (1: Refused refused),   // false: the caller must resynchronize
  list<PoolStatus> pool_status() throws (1: Refused refused)
}

// Entry VM in the directory.
struct EntryRecord { 1: string id, 2: string address, 3: string data_centre, 4: string state }  // ready or draining

// Load of one entry VM, or of several, on a backend server. The fields from 60 on count requests of plain services within
// the last half second; `sent` may include requests that have not ended.
struct BackendUse {
  1: string id,
  2: i32 requests,
  3: i64 tokens,
  60: i32 sent = 0,
  61: i32 answered = 0,                // whole answers, with `errors`
  62: i32 failed = 0,                  // no whole answer
  63: i32 refused = 0,                 // not run
  64: i32 errors = 0,                  // status 500 or more
  65: i32 worked = 0,
  66: double work_s = 0,               // sum over `worked` answers, without the wait at the server
  67: i32 observing_vms = 0,           // in replies: entry VMs that have used the server
  68: i32 failing_vms = 0              // in replies: entry VMs with failures
}

// Requests for a plain service at one entry VM, or at several: those that came within the last half second, also if not
// sent, and those that wait now until a server has room.
struct ServiceLoad { 1: string name, 2: i32 offered = 0, 3: i32 waiting = 0 }

// Reservation ("place") of an entry VM on a decode engine.
struct HeldPlace {
  1: i64 place,
  2: string backend,
  3: i64 tokens,
  4: string service_name = "",
  5: i64 output_tokens = 0,            // part of `tokens` that is filled during the stream
  6: i64 age_ms = 0,
  7: i32 event_gap_ms = 0              // longest gap between events that the caller accepts; 0 if unknown
}

// Requests of a service that may be repeated: their number since the start of the VM, and the times of good answers since
// its last report.
struct RepeatableUse { 1: string service_name, 2: i64 total, 3: list<i32> answer_ms }

struct SiteFollowRequest {
  1: EntryRecord entry,
  2: i64 incarnation,
  3: i64 term = 0,                     // term of the reply that the following revisions are from
  4: i64 document_version = 0,
  5: i64 backends_revision = 0,
  6: i64 entries_revision = 0,
  7: i32 wait_ms = 0,
  8: map<string, double> spent,        // tokens by workspace since the start of the entry VM
  9: list<BackendUse> uses,
  10: list<HeldPlace> places,
  11: bool spent_whole = false,        // false: `spent` omits workspaces whose totals have not changed
  12: map<string, double> levels,      // latest levels from a leader, sent if `spent_whole`
  13: double levels_age_s = 0,
  14: map<string, double> uncounted,   // spent or granted since `levels`, sent if `spent_whole`
  15: bool accepts_deltas = false,     // lists may be sent as changes since the revisions above
  16: bool accepts_patches = false,    // the document may be sent as patches of `document_version`
  20: i64 suspects_revision = -1,      // -1: the follower does not know barred parts of prompts
  21: i64 bars_revision = -1,
  71: list<i64> abandoned_charges,     // numbers of charges whose answer did not arrive in time: not used by the VM
  50: i64 evacuations_revision = -1,   // -1: the follower does not know evacuations
  60: list<ServiceLoad> services,
  70: list<RepeatableUse> repeatable_uses
}

// Parts of prompts that crash engines: a request whose prompt has all of them is not sent to an engine.
struct BarredParts { 1: list<string> parts, 2: i64 remaining_ms, 3: i32 crashes = 0 }

// Lists are omitted if the follower already has their revision.
struct SiteFollowReply {
  1: i64 term,
  2: i64 document_version,
  3: binary document,                  // compressed with zlib
  4: i64 backends_revision,
  5: list<BackendRecord> backends,
  6: i64 entries_revision,
  7: list<EntryRecord> entries,
  8: bool backends_complete = false,   // false while a new leader is still collecting announcements
  9: bool entries_complete = false,
  10: map<string, double> available,   // tokens by workspace, after deducting what the request reported
  11: list<BackendUse> uses,           // load of the other entry VMs
  12: list<string> control,            // RPC addresses of the control group
  13: list<PutDeparture> departures,   // sent together with `backends`
  14: bool counted = true,             // false: the leader lacks the totals of the entry VM and requests a whole report
  15: bool backends_delta = false,     // `backends` holds only what has changed, `removed_backends` what is gone
  16: list<PutDeparture> removed_backends,  // a server that started later than `started_ms` stays
  17: bool entries_delta = false,
  18: list<string> removed_entries,
  19: binary document_layout,          // of the parts of `document`
  24: list<PatchDocument> document_patches,  // sent instead of `document`, in order
  20: i64 suspects_revision = 0,       // changes with `barred` and `suspected`
  21: i64 bars_revision = 0,           // changes with `barred`
  22: list<BarredParts> barred,        // omitted, like `suspected`, if the follower has their revision
  23: list<string> suspected,          // parts whose successes the leader wants to know
  50: Evacuations evacuations,         // omitted if the follower has their revision
  60: list<ServiceLoad> services,      // of the other entry VMs
  70: map<string, i32> second_send_after_ms   // by service; a request without an answer by then may be sent once more
}

// Measured speed of an engine: `took_s` seconds for `units` tokens or events.
struct EngineSpeed { 1: string id, 2: double took_s, 3: i64 units }

// Requests places on engines. Requests that have missed their latency objective are queued behind the others.
struct PlaceRequest {
  1: string vm,
  2: i64 incarnation,
  3: string request_id,
  4: string service_name,
  5: string model,
  6: i64 prompt_tokens,
  7: i64 memory_tokens,
  8: i32 wait_ms,
  9: i32 late_in_ms = 0,               // time until the objective is missed, if this is the caller's first attempt
  10: bool prefill = true,             // whether a prefill engine is needed as well
  11: list<string> avoid,              // backend servers that have failed for this VM
  12: i32 patience_ms = 0,             // longest total wait that the caller is expected to accept
  13: i64 content = 0,                 // hash of the content, which identifies a repeated request of a caller
  14: list<EngineSpeed> prefills,      // speeds of prefill engines measured by the VM since its last call
  15: bool continued = false,          // whether the request had a place before, on an engine that failed
  16: i32 event_gap_ms = 0,            // longest gap between events that the caller accepts; 0 if unknown
  30: i32 rank = 0,                    // urgency, where 0 is the most urgent
  31: string workspace = "",
  32: i32 return_within_ms = 0,        // longest time after a refusal at which the caller returns; 0 if unknown
  40: list<string> connected           // engines to which the VM has an idle connection, the latest used first
}

// IDs of the engines, empty if none had capacity in time. `wait_ms` is the time until capacity is expected. A `refused`
// request has lost its position in the queue. A `late` place was granted after the objective could no longer be met.
struct PlaceReply {
  1: i64 place = 0, 2: string prefill = "", 3: string decode = "", 4: i32 wait_ms = 0, 5: bool refused = false, 30: bool late = false
}

// `speeds` are those of the decode engine. `unresponsive` lists engines that did not accept a connection or took too
// long to read a prompt, `broken` prefill engines whose answer broke off.
struct FreePlace {
  1: string vm, 2: i64 incarnation, 3: i64 place, 4: list<EngineSpeed> speeds, 5: list<string> unresponsive,
  30: list<string> broken
}

struct SiteDocument { 1: i64 version, 2: binary body, 3: binary layout }

// Tokens that an entry VM asks to charge before it admits a request.
// `number` names the charge in `abandoned_charges` if its answer does not arrive in time.
struct TokenCharge { 1: string vm, 2: i64 incarnation, 3: string workspace, 4: double tokens, 5: i64 number = 0 }

// Request that broke at an engine that crashed, in the beginning of its answer. The times are before the report.
struct PromptCrash {
  1: string backend,
  2: i64 started_ms,
  3: list<string> parts,               // of the prompt, without those that were answered lately
  4: i64 began_ago_ms = 0,
  5: i64 ended_ago_ms = 0,
  6: string request_id = "",
  7: list<string> answered_parts,      // those that were answered lately, but not since the request was sent
  8: list<i32> answered_ago_ms         // time since the latest answer of each of them; earlier versions do not send it
}

// Crashes of engines, and parts of prompts that were answered: `sound_ago_ms` has the time since the latest answer of each
// part in `sound`; earlier versions do not send it.
struct PromptReport { 1: string vm, 2: list<PromptCrash> crashes, 3: list<string> sound, 4: list<i32> sound_ago_ms }

// Bars after a report, as in `SiteFollowReply`.
struct PromptReply {
  1: i64 term, 2: i64 suspects_revision, 3: i64 bars_revision, 4: list<BarredParts> barred, 5: list<string> suspected
}

service Site {
  SiteFollowReply follow_site(1: SiteFollowRequest request) throws (1: Refused refused),
  void announce_backend(1: BackendRecord record) throws (1: Refused refused),
  // `sequence` -1: the server itself has named its start. Otherwise both are what `read_backend_start` has returned, and the
  // server counts as running again if its announcements go on.
  void remove_backend(1: string id, 2: i64 started_ms, 3: i64 sequence = -1) throws (1: Refused refused),
  i64 put_document(1: SiteDocument document) throws (1: Refused refused),     // returns the version that applies
  i64 patch_document(1: PatchDocument patch) throws (1: Refused refused),     // refused with `stale_base` for another version
  SiteDocument read_document() throws (1: Refused refused),
  PlaceReply place(1: PlaceRequest request) throws (1: Refused refused),
  void free_place(1: FreePlace freed) throws (1: Refused refused),
  double charge_tokens(1: TokenCharge charge) throws (1: Refused refused),    // 0, or seconds until the tokens are available
  list<string> join(1: string member) throws (1: Refused refused),            // returns the RPC addresses of the group
  PromptReply report_prompts(1: PromptReport report) throws (1: Refused refused),
  bool leave(1: string member) throws (1: Refused refused),                   // whether the voter is to be replaced now
  // `known` tells that the data centre is known to the caller; otherwise the leader must know it. Refused with `superseded` if
  // orders for it have begun since `read_evacuations` returned `term` and `order_number`; number -1: no such condition.
  void order_evacuation(1: PutEvacuation order, 2: bool known, 3: i64 term = 0, 4: i64 order_number = -1)
    throws (1: Refused refused),
  Evacuations read_evacuations() throws (1: Refused refused),
  bool second_send(1: string service_name) throws (1: Refused refused),       // whether the limit of the fleet allows one
  BackendStart read_backend_start(1: string id) throws (1: Refused refused)
}
