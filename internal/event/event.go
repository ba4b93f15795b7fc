// Package event lists the log lines of the processes. Each decision has a kind of its own, so that on-call
// engineers and tools can find it by name. docs/LOGS.md is generated from this list.
package event

// Message is the kind of a log line, its field "msg".
type Message string

// Kinds of log lines; All describes each.
const (
	ProcessStarted        Message = "process started"
	ProcessStopping       Message = "process stopping"
	ProcessStopped        Message = "process stopped"
	SettingsReloaded      Message = "settings reloaded"
	SettingsNotReloaded   Message = "settings not reloaded"
	ConnectionsCut        Message = "connections cut at the stop"
	AddressNotStored      Message = "address not stored"
	ConfigurationInEffect Message = "configuration in force"
	ConfigurationSkipped  Message = "configuration left out"
	DrainInEffect         Message = "drain in effect"
	DrainEnded            Message = "drain ended"
	DrainSkipped          Message = "drain left out"
	JobSubmitted          Message = "job submitted"
	JobCancelled          Message = "job cancelled"
	RequestRefused        Message = "request refused"
	ClientsTurnedAway     Message = "clients turned away"
	StoreLost             Message = "store lost"
	StoreRegained         Message = "store regained"
	StoreSlow             Message = "store slow"
	StoreFast             Message = "store fast again"
	JobsRelayed           Message = "jobs relayed"
	JobsNotStored         Message = "jobs not stored"
	OwnerChanged          Message = "owner changed"
	LeaseUnreadable       Message = "lease unreadable"
	LeaseNotRenewed       Message = "lease not renewed"
	LeaseStoreAnswers     Message = "lease can be renewed"
	CellTakenOver         Message = "cell taken over"
	TakeoverFailed        Message = "takeover failed"
	TakeoverNotAnnounced  Message = "takeover not announced"
	CellReleased          Message = "cell given up"
	CellNotReleased       Message = "cell not given back"
	JobsExpiredUnread     Message = "jobs expired unread"
	RecordSkipped         Message = "record left out"
	DecisionsNotStored    Message = "decisions not stored"
	RecordRejected        Message = "record rejected"
	ForeignRecords        Message = "records of other writers"
	RecordRepaired        Message = "record stored again"
	EndedNotDropped       Message = "ended jobs not dropped"
	LinkRefused           Message = "link refused"
	LinkEnded             Message = "link ended"
	Accept                Message = "accept"
	Defer                 Message = "defer"
	Place                 Message = "place"
	End                   Message = "end"
	LeaseExpired          Message = "lapse"
	LateStart             Message = "late start"
	Stop                  Message = "stop"
	Complete              Message = "complete"
	Fail                  Message = "fail"
	Cancel                Message = "cancel"
	Copy                  Message = "copy"
	Suspect               Message = "suspect"
	Crash                 Message = "crash"
	Isolate               Message = "isolate"
	Worker                Message = "worker"
	Learn                 Message = "learn"
	Drain                 Message = "drain"
	Reserve               Message = "reserve"
	Reject                Message = "reject"
	Advice                Message = "advice"
	Standstill            Message = "stands still"
	WorkerDrains          Message = "worker drains"
	WorkerLeaves          Message = "worker leaves"
	AnnouncementSkipped   Message = "announcement left out"
	WorkerLost            Message = "worker lost"
	WorkerRegained        Message = "worker regained"
	IncarnationEnded      Message = "life of the worker over"
	WorkerReborn          Message = "worker reborn"
	TokenTooLow           Message = "token too low"
	OwnerLinked           Message = "linked to owner"
	OwnerLost             Message = "no link to owner"
	CommandsIgnored       Message = "orders void"
	StartNotDone          Message = "start not done"
	RunVanished           Message = "run vanished"
	LinesDropped          Message = "lines left out"
	Panic                 Message = "panic"
	PartEnded             Message = "part ended"
)

// Line describes a kind of log line.
type Line struct {
	Message Message
	// Level is the line's level, Program the program that writes it, and Part the value of its field
	// "prefix".
	Level, Program, Part string
	// Fields are the names of the line's other fields, including those that are not always present.
	Fields []string
	// Meaning describes the line in docs/LOGS.md.
	Meaning string
}

// decisionFields are the fields of a decision: subject and inputs, or count and decisions for several at once.
var decisionFields = []string{"subject", "epoch", "inputs", "count", FieldDecisions}

// All lists every kind of line.
var All = []Line{
	{ProcessStarted, "info", "all", "", []string{"node", "front", "inner", "control"}, "a process has started; its addresses"},
	{ProcessStopping, "info", "all", "", []string{"signal"}, "a signal to stop was received; requests in progress are completed within the grace time"},
	{ProcessStopped, "info", "all", "", []string{"node", "reason"}, "a process has stopped"},
	{SettingsReloaded, "info", "all", "", []string{"cause"}, "the settings file was read again, after a signal or a change"},
	{SettingsNotReloaded, "error", "all", "", []string{"cause", "err"}, "the settings file has errors; the old settings stay in effect"},
	{ConnectionsCut, "warn", "entry", "", []string{"err"}, "connections that were still open at the end of the grace time were closed"},
	{AddressNotStored, "warn", "all", "", []string{"addr", "err"}, "the address of this process was not stored, so a new owner can't notify it of a takeover"},
	{ConfigurationInEffect, "info", "entry", "config", []string{"version", "queues"}, "a newer configuration is in effect from now on"},
	{ConfigurationSkipped, "error", "entry", "config", []string{"offset", "all", "err"}, "a configuration, or some of its queues if not all, can't be parsed; the previous configuration, or the rest of this one, is in effect"},
	{DrainInEffect, "info", "guard", "drains", []string{"data_centre"}, "no task starts in this data centre from now on"},
	{DrainEnded, "info", "guard", "drains", []string{"data_centre"}, "tasks may start in this data centre again"},
	{DrainSkipped, "error", "guard", "drains", []string{"key", "offset", "err"}, "a request to drain names no data centre and is ignored"},
	{JobSubmitted, "info", "entry", "front", []string{"job", "queue", "version", "err"}, "a submission was answered; without err the job is accepted"},
	{JobCancelled, "info", "entry", "front", []string{"job", "found", "err"}, "a cancellation was answered; without err it is stored"},
	{RequestRefused, "info", "entry", "front", []string{"method", "path", "status", "reason"}, "a request was answered with an error status"},
	{ClientsTurnedAway, "warn", "all", "ingress", []string{"listener", "closed", "refused", "connections", "memory_bytes"}, "a listener's clients take more connections or memory than they may: connections closed whose clients made no progress, and connections and requests that were refused, since the line before; what is taken now"},
	{StoreLost, "warn", "entry", "intake", []string{"unknown", "err"}, "no way to the store is known; jobs are refused at once. unknown is the number of records that may or may not be stored"},
	{StoreRegained, "info", "entry", "intake", []string{}, "jobs are accepted again"},
	{StoreSlow, "warn", "entry", "intake", []string{}, "the store answers and takes long for appends; jobs are stored through the owner, in common appends of all entries"},
	{StoreFast, "info", "entry", "intake", []string{}, "the store is fast again, or nothing was appended for a while; jobs are stored directly"},
	{JobsRelayed, "info", "entry", "intake", []string{"records", "took", "cause"}, "records were appended through another node, since the store is slow or can't be reached directly"},
	{JobsNotStored, "warn", "entry", "intake", []string{"records", "slow", "err"}, "records were stored neither directly nor through another node; err has the reason of each way"},
	{OwnerChanged, "info", "all", "lease", []string{"owner", "addr", "epoch", "held"}, "this process has learned of a new owner of the cell"},
	{LeaseUnreadable, "error", "all", "lease", []string{"err"}, "the record of the lease can't be parsed; the lease is treated as free"},
	{LeaseNotRenewed, "warn", "guard", "lease", []string{"err"}, "the store didn't answer the owner's renewal of its lease, or a candidate's attempt to take it; further failures are counted"},
	{LeaseStoreAnswers, "info", "guard", "lease", []string{"failures"}, "the store answers again; failures is the number of failed attempts in between"},
	{CellTakenOver, "info", "guard", "cell", []string{"epoch", "took", "jobs"}, "this process is now the owner; took is the time spent loading the cell"},
	{TakeoverFailed, "warn", "guard", "cell", []string{"epoch", "err"}, "the cell couldn't be loaded and is released"},
	{TakeoverNotAnnounced, "warn", "guard", "cell", []string{"err"}, "the other processes could not be notified of the takeover; they learn of it from the store"},
	{CellReleased, "info", "guard", "cell", []string{"epoch", "reason"}, "this process is no longer the owner"},
	{CellNotReleased, "warn", "guard", "", []string{"err"}, "the owner couldn't release its lease when it stopped; the lease expires instead"},
	{JobsExpiredUnread, "info", "guard", "cell", []string{"from"}, "the store's history is shorter than the owner's absence, so records from this offset on have expired; the newest record of each job is read instead"},
	{RecordSkipped, "error", "guard", "cell", []string{"topic", "offset", "job", "err"}, "a record can't be parsed and is ignored; the others are used"},
	{ForeignRecords, "error", "guard", "cell", []string{"topic", "at", "records", "keys"}, "another writer has appended to a topic of the owner; it goes on behind the records, and stores again what they have overwritten"},
	{RecordRepaired, "error", "guard", "cell", []string{"job", "offset", "err"}, "another writer has overwritten or deleted the record of an accepted job; it is stored again"},
	{RecordRejected, "error", "guard", "cell", []string{"topic", "key", "bytes", "err"}, "the store doesn't take a record and would refuse it again; it is left out, and a job whose progress it holds fails"},
	{DecisionsNotStored, "warn", "guard", "cell", []string{"records", "at", "err"}, "an append by the owner failed; it is retried, or the cell is released"},
	{EndedNotDropped, "warn", "guard", "cell", []string{"topic", "jobs", "err"}, "records of ended jobs stay until the next sweep"},
	{LinkRefused, "warn", "guard", "cell", []string{"err"}, "a guard's connection couldn't be accepted"},
	{LinkEnded, "warn", "guard", "cell", []string{"guard", "worker", "peer", "err"}, "a guard's connection has ended; the lease of its runs expires unless the guard reconnects in time"},
	{Accept, "info", "guard", "cell", decisionFields, "the owner learned of a job; age is the time since its acceptance"},
	{Defer, "info", "guard", "cell", decisionFields, "a job's tasks wait until the owner has memory for them: their number, those held, and the limit"},
	{Place, "info", "guard", "cell", decisionFields, "a task is placed on a worker as a run: the worker's free and unused CPU in thousandths of a core, its pace in percent, the time left to the objective; of a step that lasts how many of its tasks the worker has now, and whether it is beside the owner"},
	{End, "info", "guard", "cell", decisionFields, "a run has ended: outcome, percent done, how long the worker had it"},
	{LeaseExpired, "info", "guard", "cell", decisionFields, "the lease of a worker's runs is known to have expired"},
	{LateStart, "info", "guard", "cell", decisionFields, "the start of a run got no answer and may still be carried out: the worker on which alone the task runs meanwhile, and for how long at most"},
	{Stop, "info", "guard", "cell", decisionFields, "a run is to be stopped, and why"},
	{Complete, "info", "guard", "cell", decisionFields, "all tasks of a job are done; slack is the time left to its objective"},
	{Fail, "info", "guard", "cell", decisionFields, "a job has failed: the task, its failures and the workers they were on"},
	{Cancel, "info", "guard", "cell", decisionFields, "the owner learned of a cancellation"},
	{Copy, "info", "guard", "cell", decisionFields, "a speculative task gets another run while this one may go on, and why"},
	{Suspect, "info", "guard", "cell", decisionFields, "a worker on which a run makes no progress gets no tasks for a while"},
	{Crash, "info", "guard", "cell", decisionFields, "a worker has crashed: the number of its runs, the runs that were starting there, and the number of tasks that the crash counts for; or an outage: most workers of a service have crashed together, and the number of tasks that this excuses"},
	{Isolate, "info", "guard", "cell", decisionFields, "a worker is kept for the start of a task under which workers have crashed, with these crashes"},
	{Worker, "info", "guard", "cell", decisionFields, "a worker has joined, drains, doesn't answer, or was removed"},
	{Learn, "info", "guard", "cell", decisionFields, "learned data can't be stored"},
	{Drain, "info", "guard", "cell", decisionFields, "the scheduler's view of the drained data centres has changed, or has become too old to start tasks; workers is the number of workers there"},
	{Reject, "info", "guard", "cell", decisionFields, "the progress of a job can't be stored, which ends the job as failed, or another record was left out"},
	{Reserve, "info", "guard", "cell", decisionFields, "room on a worker is reserved for a waiting task of a step: when it is expected to be free, how many tasks wait and since when"},
	{Standstill, "info", "guard", "cell", decisionFields, "a job, or a task that lasts, has nothing running although there is room: for how long, the refusals of its step by reason with the number of workers, how long it has queued for an isolated start and behind how many others, why the fallback doesn't apply, workers kept for isolated starts and since when, runs that it is believed to have, how many of its attempts the task has used, for each doubtful worker when that is over, the task on trial there and since when a task was risked there, and the room of the workers that take tasks and of all linked ones; repeated every 3 s while it lasts"},
	{Advice, "info", "guard", "cell", decisionFields, "a response of the policy service about a step: how many workers it was asked about and approved, how long the step waited for the service, and its class and place among the steps that waited then"},
	{WorkerDrains, "info", "guard", "guard", []string{"worker", "remaining_ms"}, "the worker has reported that it will leave"},
	{WorkerLeaves, "info", "guard", "control", []string{"worker"}, "the worker has reported that it leaves now"},
	{AnnouncementSkipped, "warn", "guard", "control", []string{"worker", "err"}, "an announcement can't be parsed; its worker is not used"},
	{WorkerLost, "warn", "guard", "guard", []string{"failed_looks", "err"}, "the worker doesn't answer; the lease of its runs is not renewed"},
	{WorkerRegained, "info", "guard", "guard", []string{"worker", "failed_looks"}, "the worker answers again"},
	{IncarnationEnded, "warn", "guard", "guard", []string{"worker"}, "another incarnation of the worker has answered; nothing is running in the previous one"},
	{WorkerReborn, "info", "guard", "guard", []string{"worker", "running", "ended", "token"}, "another birth of the worker has answered, with what it lists; the token keeps calls to earlier births out of it from the next poll on"},
	{TokenTooLow, "warn", "guard", "guard", []string{"worker", "token", "next"}, "the worker refuses calls since it has seen a higher fencing token, of a newer owner or of an earlier guard process; next is the token of the next call"},
	{OwnerLinked, "info", "guard", "guard", []string{"owner"}, "the guard takes commands from this owner"},
	{OwnerLost, "warn", "guard", "guard", []string{"owner", "err"}, "the guard's link to the owner has ended or can't be opened"},
	{CommandsIgnored, "info", "guard", "guard", []string{"worker", "starts"}, "commands for an incarnation of the worker that has ended were ignored"},
	{StartNotDone, "warn", "guard", "guard", []string{"task", "run", "refused", "err"}, "a command to start a run was refused, or got no answer and its outcome is being determined"},
	{RunVanished, "warn", "guard", "guard", []string{"worker", "task", "run"}, "the worker lists a run no longer, and never listed its end: that was acknowledged unseen"},
	{LinesDropped, "warn", "all", "logs", []string{"kind", "count"}, "lines of a kind were dropped, since they exceeded its rate or the buffer was full"},
	{Panic, "error", "guard", "cell", []string{"task", "err"}, "the scheduler has panicked; the owner loads the cell anew. err has the stack"},
	{PartEnded, "error", "crocus-dev", "cell", []string{"err"}, "a part of an in-process cell has ended unexpectedly"},
}
