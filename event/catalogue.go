package event

import "github.com/charmbracelet/log"

// The events of the daemon. 1xx: process, 2xx: replication, 3xx: VMs, 4xx: endpoints, 5xx: requests, 6xx: document, 7xx: data centres.
var (
	Started               = Event{101, log.InfoLevel, "VM started", "callers_addr, operators_addr, link_addr, incarnation", "nothing"}
	StopStarted           = Event{102, log.InfoLevel, "graceful stop started", "reason", "wait for event 103"}
	Stopped               = Event{103, log.InfoLevel, "VM stopped", "in_flight", "if in_flight is not 0, responses that had begun were cut: raise stop_grace"}
	Ready                 = Event{104, log.InfoLevel, "VM is ready", "document_version", "nothing"}
	Reloaded              = Event{105, log.InfoLevel, "settings reloaded", "reason, changed", "nothing; changes of other settings need a restart"}
	ReloadRefused         = Event{106, log.ErrorLevel, "settings could not be reloaded", "reason, error", "fix the settings; the previous ones stay active"}
	StopStepFailed        = Event{107, log.WarnLevel, "step of the graceful stop failed", "step, error", "nothing if the VM stopped; else check its other log lines"}
	LinesDropped          = Event{108, log.WarnLevel, "log lines dropped", "lines", "read the output faster, or raise --log_level"}
	SettingClamped        = Event{109, log.WarnLevel, "setting out of range replaced", "reason", "correct the setting"}
	RoleChanged           = Event{201, log.InfoLevel, "replica changed role", "role, term, leader", "if it repeats every few seconds, check for a slow disk or a bad link"}
	GroupStarted          = Event{202, log.InfoLevel, "replicated group started", "group, voters", "nothing"}
	MembershipChanged     = Event{203, log.InfoLevel, "group membership change proposed", "step, vm, replica", "nothing; the repair is finished when the status says repaired"}
	SnapshotTaken         = Event{204, log.DebugLevel, "log compacted", "index, bytes", "nothing"}
	SnapshotInstalled     = Event{205, log.InfoLevel, "snapshot installed", "index", "nothing"}
	TailTruncated         = Event{206, log.WarnLevel, "torn tail truncated from the log", "file, offset, bytes", "nothing after a crash; else check the disk"}
	LeadershipTransferred = Event{207, log.InfoLevel, "leadership transferred", "to", "nothing"}
	DiskFull              = Event{208, log.ErrorLevel, "disk refuses writes for a lack of space", "what, suspended, refused, error", "free space on the disk of the data folder; the VM takes part again by itself"}
	DiskWritable          = Event{209, log.InfoLevel, "disk takes writes again", "full_ms, refused", "nothing"}
	SpendNotStored        = Event{210, log.WarnLevel, "spend counters not stored", "error", "repair the disk; the counters are stored later"}
	SharesGranted         = Event{211, log.InfoLevel, "leader began to grant shares of limits beyond what VMs hold", "term, took_ms, unreported", "nothing; until then a VM that restarted may refuse requests within the limit; if it takes seconds, check the unreported VMs and the links to them"}
	VMAlive               = Event{301, log.InfoLevel, "VM alive", "peer, data_centre, incarnation", "nothing"}
	VMLost                = Event{302, log.WarnLevel, "VM lost", "peer, data_centre", "check whether the VM or the link to its data centre failed"}
	ConnectionReset       = Event{303, log.InfoLevel, "unresponsive connection to a VM closed", "peer", "nothing; it is reopened. If it repeats, check the link"}
	EndpointAnnounced     = Event{401, log.InfoLevel, "endpoint announced", "endpoint, pool, incarnation, admitted", "if admitted is false, check endpoint_admissions and the endpoint's token"}
	EndpointDraining      = Event{402, log.InfoLevel, "endpoint is draining", "endpoint, incarnation", "nothing"}
	EndpointLost          = Event{403, log.WarnLevel, "endpoint lease expired", "endpoint", "check whether the endpoint died or cannot reach the VMs"}
	EndpointConflict      = Event{404, log.ErrorLevel, "two machines announce one endpoint id", "endpoint, address, held_by", "assign each endpoint a unique id"}
	EndpointEjected       = Event{405, log.WarnLevel, "endpoint ejected after a failure", "endpoint, error, until_ms", "check the endpoint; it is tried again automatically"}
	EndpointLeaves        = Event{406, log.InfoLevel, "endpoint says in a response that it leaves", "endpoint, incarnation, source, request_id", "nothing; it gets no new calls"}
	EndpointQuiet         = Event{407, log.InfoLevel, "endpoint asks for no calls", "endpoint, incarnation, quiet_ms, source, request_id", "if it repeats, the endpoint is overloaded: add endpoints of its service"}
	EndpointQuietEnded    = Event{408, log.InfoLevel, "endpoint accepts calls again after its quiet", "endpoint, incarnation", "nothing"}
	EndpointNoticeIgnored = Event{409, log.WarnLevel, "notice of an endpoint's response ignored", "endpoint, source, reason", "correct the endpoint"}
	DepartureNotRecorded  = Event{410, log.WarnLevel, "departure of an endpoint not recorded", "endpoint, incarnation, error", "nothing if the endpoint asks another VM; else check the group with group show"}
	EndpointLimited       = Event{411, log.InfoLevel, "endpoint states how many calls it takes from all VMs", "endpoint, incarnation, limit, source, request_id", "nothing; if it lasts, the endpoint is overloaded: add endpoints of its service"}
	EndpointUnlimited     = Event{412, log.InfoLevel, "endpoint no longer states a limit", "endpoint, incarnation, limit, source, request_id", "nothing"}
	EndpointMalformed     = Event{413, log.WarnLevel, "response of an endpoint is malformed", "endpoint, incarnation, service, source, request_id, part, text, reason, skipped", "correct the endpoint; what it did is run at another one where the route allows that"}
	EndpointCold          = Event{420, log.InfoLevel, "endpoint is cold and gets few calls", "endpoint, incarnation, pool, left_ms, rate, share", "nothing; if rate is 0, the service's endpoints get no calls while they are cold: raise cold_slack"}
	EndpointWarm          = Event{421, log.InfoLevel, "endpoint is no longer cold", "endpoint, incarnation", "nothing"}
	RequestRefused        = Event{501, log.DebugLevel, "request refused", "request_id, workspace, pipeline, kind, outcome", "see the remedy of the kind"}
	AnswerDropped         = Event{502, log.WarnLevel, "stage answer dropped: its ids do not match the call", "request_id, stage, attempt, endpoint", "the endpoint mixes up answers: remove it and fix it"}
	OutcomeUnknown        = Event{503, log.WarnLevel, "outcome of a non-idempotent call is unknown", "request_id, workspace, stage", "check the service's own records for whether it ran"}
	RequestSent           = Event{504, log.InfoLevel, "request sent to an endpoint", "request_id, endpoint, addr, attempt, cause, candidates, in_flight, cached_tokens, uncached_tokens, wait_ms, confirmed, cold, left_ms, budget_left", "nothing"}
	RequestAnswered       = Event{505, log.InfoLevel, "request answered", "request_id, route, workspace, document_version, status, kind, message, stages_ms, first_ms, pause_ms, took_ms, left_ms, attempts, retry_after_ms, skipped", "if kind is not empty, check the other log lines of the request"}
	AttemptFailed         = Event{506, log.WarnLevel, "attempt failed", "request_id, endpoint, error, sent, not_run, closed_by_endpoint, parts, took_ms, shed_ms", "if it repeats, check the endpoint"}
	StreamResumed         = Event{507, log.InfoLevel, "stream resumed at another endpoint", "request_id, endpoint, last_event, passed_ms", "nothing"}
	BatchFinished         = Event{508, log.InfoLevel, "batch of stage pieces finished", "service, endpoint, pieces, requests, waited_ms, took_ms, predicted_ms, without_room, result", "if took_ms is far above predicted_ms, the endpoint is slow"}
	StageFinished         = Event{509, log.InfoLevel, "stage of a request finished", "request_id, stage, service, pieces, took_ms, error", "if took_ms is high, check event 508 of the service"}
	ResultNotReleased     = Event{510, log.InfoLevel, "stage result not released", "handle, error", "nothing; it expires"}
	DispatcherFailed      = Event{511, log.WarnLevel, "piece dispatch by another VM failed", "request_id, service, peer, error", "check whether the VM or the link to it failed"}
	RequestAccepted       = Event{512, log.DebugLevel, "request accepted", "request_id, route, workspace, document_version, left_ms", "nothing"}
	RetryRefused          = Event{513, log.WarnLevel, "request not sent again: the retry budget is spent", "request_id, service, attempts, budget_left, vms", "check event 506 for why the service's endpoints fail"}
	PromptQuarantined     = Event{514, log.WarnLevel, "prompts quarantined: endpoints crashed while they ran", "parts, crashes, repeats, left_ms, decided_here", "find out why endpoints crash under these prompt parts (event 506 has the runs); callers get 503 until the quarantine ends"}
	RequestQuarantined    = Event{515, log.WarnLevel, "request not sent: its prompt is quarantined", "request_id, parts, left_ms, attempts", "see event 514 of these parts"}
	CallersBounded        = Event{516, log.WarnLevel, "connections of callers refused or closed", "cause, refused, yielded, heads, no_memory, body_timeouts, write_timeouts", "at most one line a second; see Untrusted callers in docs/OPERATIONS.md"}
	PlacementFailed       = Event{517, log.WarnLevel, "placement of a prompt by another VM failed", "request_id, service, peer, error", "nothing: this VM selected the endpoint; if it repeats, check whether the VM or the link to it failed"}
	JobRefused            = Event{518, log.InfoLevel, "stage refused: no capacity in time", "request_id, service, stage, priority, pieces, held_ms, predicted_wait_ms, retry_after_ms, returned", "if it lasts, add endpoints of the service; predicted_wait_ms is -1 if no capacity is predicted"}
	RequestNotStarted     = Event{519, log.InfoLevel, "request not started: a later stage has no capacity in time", "request_id, route, priority, due_ms, needed_ms, wait_ms, retry_after_ms, returned", "if it lasts, add endpoints of the service of the stage with the longest wait, see event 518"}
	CallNotEncoded        = Event{520, log.WarnLevel, "call to an endpoint not sent: its head cannot be encoded", "endpoint, incarnation, service, source, request_id, part, text, reason, skipped", "correct the named part, for example the name of a workspace in the document; if an endpoint or another VM has sent it, report it"}
	JobWithoutMemory      = Event{521, log.WarnLevel, "stage refused: no memory for its pieces", "request_id, service, stage, pieces, bytes, error, skipped", "if it lasts, raise memory_mb, or have callers ask for fewer pieces at once"}
	DocumentActivated     = Event{601, log.InfoLevel, "document activated", "document_version, digest", "nothing"}
	DocumentRefused       = Event{602, log.InfoLevel, "document refused", "document_version, kind, message", "fix the document and submit it again"}
	DocumentFetched       = Event{603, log.InfoLevel, "document fetched from another VM", "peer, document_version, bytes, took_ms", "nothing; event 601 follows if it is newer than the active one"}
	DocumentFetchFailed   = Event{604, log.WarnLevel, "document could not be fetched from another VM", "peer, document_version, active_version, bytes, took_ms, error", "nothing if event 601 of that version follows; else check the link to the VM"}
	EvacuationStarted     = Event{701, log.InfoLevel, "evacuation of a data centre in effect", "data_centre, version", "nothing; end the evacuation when the data centre may get work again"}
	EvacuationEnded       = Event{702, log.InfoLevel, "evacuation of a data centre ended", "data_centre, version", "nothing"}
	EvacuationRefused     = Event{703, log.WarnLevel, "evacuation command refused or not confirmed", "data_centre, active, error", "see the error; a command without a majority may still take effect: send it again"}
)

// Catalogue lists all events in ascending order of their numbers.
var Catalogue = []Event{
	Started, StopStarted, Stopped, Ready, Reloaded, ReloadRefused, StopStepFailed, LinesDropped, SettingClamped,
	RoleChanged, GroupStarted, MembershipChanged, SnapshotTaken, SnapshotInstalled, TailTruncated, LeadershipTransferred,
	DiskFull, DiskWritable, SpendNotStored, SharesGranted,
	VMAlive, VMLost, ConnectionReset,
	EndpointAnnounced, EndpointDraining, EndpointLost, EndpointConflict, EndpointEjected, EndpointLeaves, EndpointQuiet, EndpointQuietEnded, EndpointNoticeIgnored, DepartureNotRecorded, EndpointLimited, EndpointUnlimited, EndpointMalformed,
	EndpointCold, EndpointWarm,
	RequestRefused, AnswerDropped, OutcomeUnknown,
	RequestSent, RequestAnswered, AttemptFailed, StreamResumed, BatchFinished, StageFinished, ResultNotReleased, DispatcherFailed, RequestAccepted, RetryRefused, PromptQuarantined, RequestQuarantined, CallersBounded, PlacementFailed, JobRefused, RequestNotStarted, CallNotEncoded, JobWithoutMemory,
	DocumentActivated, DocumentRefused, DocumentFetched, DocumentFetchFailed,
	EvacuationStarted, EvacuationEnded, EvacuationRefused,
}
