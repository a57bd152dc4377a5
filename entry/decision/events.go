package decision

// Event names a kind of line.
type Event string

// The events; the table of events tells what each is for and its fields.
const (
	Started          Event = "started"
	Stopping         Event = "stopping"
	Stopped          Event = "stopped"
	Reloaded         Event = "reloaded"
	Placed           Event = "placed"
	LoadWaited       Event = "load_waited"
	LoadServed       Event = "load_served"
	AttemptFailed    Event = "attempt_failed"
	Repeated         Event = "repeated"
	Resumed          Event = "resumed"
	Refused          Event = "refused"
	Ended            Event = "ended"
	OrderSent        Event = "order_sent"
	RightAcquired    Event = "right_acquired"
	RightLost        Event = "right_lost"
	MemberChanged    Event = "member_changed"
	WorkerChanged    Event = "worker_changed"
	ConfigAccepted   Event = "config_accepted"
	ConfigRejected   Event = "config_rejected"
	EntryRejected    Event = "entry_rejected"
	StoreLost        Event = "store_lost"
	StoreReturned    Event = "store_returned"
	ReportFailed     Event = "report_failed"
	ConnectionFailed Event = "connection_failed"
	LinesDropped     Event = "lines_dropped"
)

// eventTable explains every event.
var eventTable = []explanation[Event]{
	{name: Started, text: "the process starts", fields: []Field{FieldDataCentre, FieldCallers, FieldSeeds}},
	{name: Stopping, text: "the process was told to stop", fields: []Field{FieldRequests}},
	{name: Stopped, text: "the process ends", fields: []Field{FieldCut, FieldTookMS}},
	{name: Reloaded, text: "settings were read again", fields: []Field{FieldSeeds, FieldError}},
	{name: Placed, text: "a worker was chosen for a request", fields: []Field{FieldRequest, FieldRoute, FieldWorker, FieldAdapter, FieldResidency, FieldRunning, FieldWaitingTokens, FieldNewsAgeMS, FieldCandidates, FieldEstimateMS, FieldLeftMS, FieldConfig}},
	{name: LoadWaited, text: "a request waited for an adapter", fields: []Field{FieldRequest, FieldWorker, FieldAdapter, FieldDenied, FieldReady, FieldReason, FieldTookMS}},
	{name: LoadServed, text: "another instance's request waited for an adapter here", fields: []Field{FieldRequest, FieldWorker, FieldAdapter, FieldReady, FieldReason, FieldWaiting, FieldTookMS}},
	{name: AttemptFailed, text: "an attempt brought no usable answer", fields: []Field{FieldRequest, FieldWorker, FieldSent, FieldNotRun, FieldCause, FieldStatus, FieldError, FieldCanceled, FieldResuming, FieldLastEvent, FieldHolder, FieldCall, FieldTookMS}},
	{name: Repeated, text: "a request is sent again after a worker's error", fields: []Field{FieldRequest, FieldWorker, FieldStatus}},
	{name: Resumed, text: "a stream goes on at another worker", fields: []Field{FieldRequest, FieldWorker, FieldLastEvent}},
	{name: Refused, text: "a final answer of the instance's own", fields: []Field{FieldRequest, FieldRoute, FieldService, FieldStatus, FieldReason, FieldMayHaveRun, FieldSends, FieldWorker, FieldRetryAfterMS, FieldTookMS, FieldConfig, FieldHost, FieldPath}},
	{name: Ended, text: "a request is over", fields: []Field{FieldRequest, FieldRoute, FieldOutcome, FieldStatus, FieldWorker, FieldSends, FieldFirstByteMS, FieldLoadingMS, FieldPromptTokens, FieldTookMS}},
	{name: OrderSent, text: "an order was due at a worker", fields: []Field{FieldWorker, FieldUnload, FieldModel, FieldAdapter, FieldFence, FieldHeld, FieldResult, FieldTookMS, FieldError}},
	{name: RightAcquired, text: "this instance may order a part of the workers", fields: []Field{FieldRight, FieldFence, FieldClearInMS}},
	{name: RightLost, text: "it may no longer", fields: []Field{FieldRight}},
	{name: MemberChanged, text: "an instance joined, restarted, left or was removed", fields: []Field{FieldMember, FieldChange, FieldIncarnation}},
	{name: WorkerChanged, text: "a worker appeared, restarted, drains, lapsed or is gone", fields: []Field{FieldWorker, FieldService, FieldChange, FieldAddress, FieldBorn, FieldModels}},
	{name: ConfigAccepted, text: "a configuration is in force", fields: []Field{FieldConfig, FieldSource, FieldRoutes, FieldServices}},
	{name: ConfigRejected, text: "a configuration could not be read or fetched", fields: []Field{FieldSource, FieldError}},
	{name: EntryRejected, text: "an entry of the store can't be used", fields: []Field{FieldKey, FieldError}},
	{name: StoreLost, text: "the store does not answer", fields: []Field{FieldError}},
	{name: StoreReturned, text: "it answers again", fields: []Field{}},
	{name: ReportFailed, text: "a worker's report could not be read", fields: []Field{FieldWorker, FieldError}},
	{name: ConnectionFailed, text: "a connection broke, or spoke no HTTP", fields: []Field{FieldError}},
	{name: LinesDropped, text: "lines that were left out, by event as limited_EVENT", fields: []Field{FieldReplaced}},
}
