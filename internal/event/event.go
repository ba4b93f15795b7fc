// Package event lists the lines that processes log: one kind a decision, so that on-call engineers and tools
// find them by name. docs/LOGS.md is written from it.
package event

// Message is the kind of a log line, its field "msg".
type Message string

// Kinds of log lines; All tells what each means.
const (
	ProcessStarted       Message = "process started"
	ProcessStopping      Message = "process stopping"
	ProcessStopped       Message = "process stopped"
	SettingsReloaded     Message = "settings reloaded"
	SettingsNotReloaded  Message = "settings not reloaded"
	ConnectionsCut       Message = "connections cut at the stop"
	AddressNotStored     Message = "address not stored"
	ConfigurationInForce Message = "configuration in force"
	ConfigurationLeftOut Message = "configuration left out"
	JobSubmitted         Message = "job submitted"
	JobCancelled         Message = "job cancelled"
	RequestRefused       Message = "request refused"
	StoreLost            Message = "store lost"
	StoreRegained        Message = "store regained"
	JobsRelayed          Message = "jobs relayed"
	JobsNotStored        Message = "jobs not stored"
	OwnerChanged         Message = "owner changed"
	LeaseUnreadable      Message = "lease unreadable"
	LeaseNotRenewed      Message = "lease not renewed"
	CellTakenOver        Message = "cell taken over"
	TakeoverFailed       Message = "takeover failed"
	TakeoverNotAnnounced Message = "takeover not announced"
	CellGivenUp          Message = "cell given up"
	CellNotGivenBack     Message = "cell not given back"
	JobsExpiredUnread    Message = "jobs expired unread"
	RecordLeftOut        Message = "record left out"
	DecisionsNotStored   Message = "decisions not stored"
	EndedNotDropped      Message = "ended jobs not dropped"
	LinkRefused          Message = "link refused"
	LinkEnded            Message = "link ended"
	Accept               Message = "accept"
	Place                Message = "place"
	End                  Message = "end"
	Lapse                Message = "lapse"
	Stop                 Message = "stop"
	Complete             Message = "complete"
	Fail                 Message = "fail"
	Cancel               Message = "cancel"
	Copy                 Message = "copy"
	Suspect              Message = "suspect"
	Worker               Message = "worker"
	Learn                Message = "learn"
	Advice               Message = "advice"
	WorkerDrains         Message = "worker drains"
	WorkerLeaves         Message = "worker leaves"
	AnnouncementLeftOut  Message = "announcement left out"
	WorkerLost           Message = "worker lost"
	WorkerRegained       Message = "worker regained"
	LifeOver             Message = "life of the worker over"
	OwnerLinked          Message = "linked to owner"
	OwnerLost            Message = "no link to owner"
	OrdersVoid           Message = "orders void"
	StartNotDone         Message = "start not done"
	LinesLeftOut         Message = "lines left out"
	PartEnded            Message = "part ended"
)

// Line describes a kind of log line.
type Line struct {
	Message Message
	// Level is that of the line, Program the one that writes it, Part the line's field "prefix".
	Level, Program, Part string
	// Fields are the names of the line's other fields, those that depend on the case too.
	Fields []string
	// Meaning says what the line tells.
	Meaning string
}

// All lists every kind of line.
var All = []Line{
	{ProcessStarted, "info", "all", "", []string{"node", "front", "inner", "control"}, "a process begins; its addresses"},
	{ProcessStopping, "info", "all", "", []string{"signal"}, "a signal to end; what is under way is ended within the grace time"},
	{ProcessStopped, "info", "all", "", []string{"node", "reason"}, "a process has ended"},
	{SettingsReloaded, "info", "all", "", []string{"cause"}, "the settings file was read again, after a signal or a change"},
	{SettingsNotReloaded, "error", "all", "", []string{"cause", "err"}, "the settings file has errors; the old settings stay in force"},
	{ConnectionsCut, "warn", "entry", "", []string{"err"}, "connections that were open at the end of the grace time"},
	{AddressNotStored, "warn", "all", "", []string{"addr", "err"}, "a new owner can't tell this process of its takeover"},
	{ConfigurationInForce, "info", "entry", "config", []string{"version", "queues"}, "a newer configuration is in force from here on"},
	{ConfigurationLeftOut, "error", "entry", "config", []string{"offset", "err"}, "a configuration that can't be read; the one before stays in force"},
	{JobSubmitted, "info", "entry", "front", []string{"job", "queue", "version", "err"}, "an answer to a submission; without err the job is accepted"},
	{JobCancelled, "info", "entry", "front", []string{"job", "found", "err"}, "an answer to a cancellation; without err it is stored"},
	{RequestRefused, "info", "entry", "front", []string{"method", "path", "status", "reason"}, "an answer that is no success"},
	{StoreLost, "warn", "entry", "intake", []string{"unknown"}, "the store doesn't answer; jobs are refused at once. unknown counts those under way"},
	{StoreRegained, "info", "entry", "intake", []string{}, "jobs are accepted again"},
	{JobsRelayed, "info", "entry", "intake", []string{"records", "cause"}, "appended by the owner, since the own way to the store is gone"},
	{JobsNotStored, "warn", "entry", "intake", []string{"records", "direct", "relayed"}, "neither way to the store has stored them"},
	{OwnerChanged, "info", "all", "lease", []string{"owner", "addr", "epoch", "held"}, "the cell has a new owner, as this process learned it"},
	{LeaseUnreadable, "error", "all", "lease", []string{"err"}, "the record of the lease can't be read; it is taken for free"},
	{LeaseNotRenewed, "warn", "guard", "lease", []string{"err"}, "the owner couldn't renew its lease in time"},
	{CellTakenOver, "info", "guard", "cell", []string{"epoch", "took", "jobs"}, "this process is the owner; took is the time of loading"},
	{TakeoverFailed, "warn", "guard", "cell", []string{"epoch", "err"}, "the cell couldn't be loaded and is given up"},
	{TakeoverNotAnnounced, "warn", "guard", "cell", []string{"err"}, "other processes learn of it from the store"},
	{CellGivenUp, "info", "guard", "cell", []string{"epoch", "reason"}, "this process isn't the owner any more"},
	{CellNotGivenBack, "warn", "guard", "", []string{"err"}, "at its end the owner couldn't give up the lease, which lapses"},
	{JobsExpiredUnread, "info", "guard", "cell", []string{"from"}, "the store's history is shorter than the owner's absence; the newest record of each job is read"},
	{RecordLeftOut, "error", "guard", "cell", []string{"topic", "offset", "job", "err"}, "a record that can't be read; the others hold"},
	{DecisionsNotStored, "warn", "guard", "cell", []string{"records", "at", "err"}, "an append of the owner without success; it is repeated or the cell given up"},
	{EndedNotDropped, "warn", "guard", "cell", []string{"topic", "jobs", "err"}, "records of ended jobs stay until the next sweep"},
	{LinkRefused, "warn", "guard", "cell", []string{"err"}, "a guard's connection couldn't be taken"},
	{LinkEnded, "warn", "guard", "cell", []string{"guard", "worker", "peer", "err"}, "a guard's connection has ended; its runs lapse unless it is back in time"},
	{Accept, "info", "guard", "cell", []string{"subject", "epoch", "inputs"}, "the owner learned of a job; age is since its acceptance"},
	{Place, "info", "guard", "cell", []string{"subject", "epoch", "inputs"}, "a task gets a run on a worker: what was free and unused there in thousandths of a core, its pace in percent, the time left to the objective"},
	{End, "info", "guard", "cell", []string{"subject", "epoch", "inputs"}, "a run has ended: outcome, percent done, how long the worker had it"},
	{Lapse, "info", "guard", "cell", []string{"subject", "epoch", "inputs"}, "the lease of a worker's runs has surely ended"},
	{Stop, "info", "guard", "cell", []string{"subject", "epoch", "inputs"}, "a run is to be stopped, and why"},
	{Complete, "info", "guard", "cell", []string{"subject", "epoch", "inputs"}, "all tasks of a job are done; slack is the time left to its objective"},
	{Fail, "info", "guard", "cell", []string{"subject", "epoch", "inputs"}, "a job has failed: the task, its failures and the workers they were on"},
	{Cancel, "info", "guard", "cell", []string{"subject", "epoch", "inputs"}, "the owner learned of a cancellation"},
	{Copy, "info", "guard", "cell", []string{"subject", "epoch", "inputs"}, "a speculative task gets another run while this one may go on, and why"},
	{Suspect, "info", "guard", "cell", []string{"subject", "epoch", "inputs"}, "a worker on which a run stands still gets no tasks for a while"},
	{Worker, "info", "guard", "cell", []string{"subject", "epoch", "inputs"}, "a worker came, drains, doesn't answer, or is gone"},
	{Learn, "info", "guard", "cell", []string{"subject", "epoch", "inputs"}, "what was learned can't be stored"},
	{Advice, "info", "guard", "cell", []string{"subject", "epoch", "inputs"}, "an answer of the policy service on a step"},
	{WorkerDrains, "info", "guard", "guard", []string{"worker", "remaining_ms"}, "the worker says that it will leave"},
	{WorkerLeaves, "info", "guard", "control", []string{"worker"}, "the worker says that it leaves now"},
	{AnnouncementLeftOut, "warn", "guard", "control", []string{"worker", "err"}, "an announcement that can't be read names no worker to use"},
	{WorkerLost, "warn", "guard", "guard", []string{"failed_looks", "err"}, "the worker doesn't answer; its runs are not renewed"},
	{WorkerRegained, "info", "guard", "guard", []string{"worker", "failed_looks"}, "the worker answers again"},
	{LifeOver, "warn", "guard", "guard", []string{"worker"}, "another life of the worker has answered; nothing runs in the old one"},
	{OwnerLinked, "info", "guard", "guard", []string{"owner"}, "the guard takes orders from this owner"},
	{OwnerLost, "warn", "guard", "guard", []string{"owner", "err"}, "the guard's link to the owner has ended or can't be opened"},
	{OrdersVoid, "info", "guard", "guard", []string{"worker", "starts"}, "orders for a life of the worker that is over"},
	{StartNotDone, "warn", "guard", "guard", []string{"task", "run", "refused", "err"}, "an order to start was refused, or got no answer and is being settled"},
	{LinesLeftOut, "warn", "all", "logs", []string{"kind", "count"}, "lines of a kind over its rate, or that found the buffer full"},
	{PartEnded, "error", "crocus-dev", "cell", []string{"err"}, "a part of an in-process cell has ended by itself"},
}
