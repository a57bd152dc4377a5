package decision

// Event is the kind of a line.
type Event string

// The events; eventTable describes them and lists their fields.
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
	WorkerLeaves     Event = "worker_leaves"
	WorkerCrashed    Event = "worker_crashed"
	PartQuarantined  Event = "part_quarantined"
	PartReleased     Event = "part_released"
	ConfigAccepted   Event = "config_accepted"
	ConfigRejected   Event = "config_rejected"
	EntryRejected    Event = "entry_rejected"
	StoreLost        Event = "store_lost"
	StoreReturned    Event = "store_returned"
	StoreOutage      Event = "store_outage"
	StoreEra         Event = "store_era"
	StoreEraSettled  Event = "store_era_settled"
	StoreEraRejected Event = "store_era_rejected"
	ReportFailed     Event = "report_failed"
	QuotaUsed        Event = "quota_used"
	QuotaMeter       Event = "quota_meter"
	QuotaCallFailed  Event = "quota_call_failed"
	ConnectionFailed Event = "connection_failed"
	Panicked         Event = "panicked"
	LinesDropped     Event = "lines_dropped"
)

// eventTable describes every event. docs/EVENTS.md is generated from it.
var eventTable = []explanation[Event]{
	{name: Started, text: "the process starts", fields: []Field{FieldDataCentre, FieldCallers, FieldSeeds}},
	{name: Stopping, text: "the process began to shut down", fields: []Field{FieldRequests}},
	{name: Stopped, text: "the process exits", fields: []Field{FieldCut, FieldTookMS}},
	{name: Reloaded, text: "the settings were reloaded", fields: []Field{FieldSeeds, FieldError}},
	{name: Placed, text: "a worker was chosen for a request", fields: []Field{FieldRequest, FieldRoute, FieldWorker, FieldAdapter, FieldResidency, FieldRunning, FieldWaitingTokens, FieldRemainingTokens, FieldKeptTokens, FieldPromptFactor, FieldStepFactor, FieldLoadFactor, FieldPace, FieldExpectedTokens, FieldNewsAgeMS, FieldCandidates, FieldEstimateMS, FieldWaitMS, FieldContentionMS, FieldOrganisation, FieldShareRatio, FieldLeftMS, FieldConfig}},
	{name: LoadWaited, text: "a request waited for an adapter to be loaded", fields: []Field{FieldRequest, FieldWorker, FieldAdapter, FieldDenied, FieldReady, FieldReason, FieldTookMS}},
	{name: LoadServed, text: "a request of another instance waited for an adapter at a worker that this instance controls", fields: []Field{FieldRequest, FieldWorker, FieldAdapter, FieldReady, FieldReason, FieldOrganisation, FieldShareClass, FieldWaiting, FieldTookMS}},
	{name: AttemptFailed, text: "an attempt got no usable response", fields: []Field{FieldRequest, FieldWorker, FieldParts, FieldSent, FieldNotRun, FieldCause, FieldStatus, FieldHoldOffMS, FieldError, FieldCanceled, FieldResuming, FieldLastEvent, FieldHolder, FieldCall, FieldTookMS}},
	{name: Repeated, text: "a request is retried after a worker's error", fields: []Field{FieldRequest, FieldWorker, FieldStatus}},
	{name: Resumed, text: "a stream is resumed at another worker", fields: []Field{FieldRequest, FieldWorker, FieldLastEvent}},
	{name: Refused, text: "the instance itself gave the final response", fields: []Field{FieldRequest, FieldRoute, FieldService, FieldStatus, FieldReason, FieldMayHaveRun, FieldSends, FieldWorker, FieldRetryAfterMS, FieldTookMS, FieldWaitMS, FieldContentionMS, FieldOrganisation, FieldShareRatio, FieldConfig, FieldHost, FieldPath}},
	{name: Ended, text: "a request is finished", fields: []Field{FieldRequest, FieldRoute, FieldOutcome, FieldStatus, FieldWorker, FieldSends, FieldFirstByteMS, FieldPauseMS, FieldLoadingMS, FieldPromptTokens, FieldOutputTokens, FieldHintTokens, FieldTookMS}},
	{name: OrderSent, text: "a control command to a worker was due", fields: []Field{FieldWorker, FieldUnload, FieldModel, FieldAdapter, FieldFence, FieldHeld, FieldResult, FieldTookMS, FieldError}},
	{name: RightAcquired, text: "this instance acquired the right to control a part of the workers", fields: []Field{FieldRight, FieldFence, FieldClearInMS}},
	{name: RightLost, text: "this instance lost the right to control a part of the workers", fields: []Field{FieldRight}},
	{name: MemberChanged, text: "an instance joined, restarted, left or was removed", fields: []Field{FieldMember, FieldChange, FieldIncarnation}},
	{name: WorkerChanged, text: "a worker appeared, restarted, is draining, lapsed or is gone", fields: []Field{FieldWorker, FieldService, FieldChange, FieldAddress, FieldBorn, FieldModels}},
	{name: WorkerLeaves, text: "a worker said in a response that it leaves", fields: []Field{FieldWorker, FieldBorn, FieldRequest}},
	{name: WorkerCrashed, text: "connections to a worker broke before its responses began, and it accepts no new one", fields: []Field{FieldWorker, FieldBorn, FieldRequests, FieldTookMS}},
	{name: PartQuarantined, text: "requests with a part of the prompt are refused because workers crashed under it", fields: []Field{FieldPart, FieldQuarantined}},
	{name: PartReleased, text: "requests with a part of the prompt are admitted again", fields: []Field{FieldPart, FieldQuarantined}},
	{name: ConfigAccepted, text: "a configuration took effect", fields: []Field{FieldConfig, FieldSource, FieldSilenceMS, FieldBehindMS, FieldRoutes, FieldServices}},
	{name: ConfigRejected, text: "a configuration could not be read or fetched", fields: []Field{FieldSource, FieldTookMS, FieldError}},
	{name: EntryRejected, text: "an entry of the metadata store is unusable", fields: []Field{FieldKey, FieldError}},
	{name: StoreLost, text: "the metadata store is unavailable", fields: []Field{FieldError}},
	{name: StoreReturned, text: "the metadata store is available again", fields: []Field{}},
	{name: StoreOutage, text: "the metadata store responds after an outage in which entries may have expired; workers without an entry are kept for the grace period", fields: []Field{FieldTookMS}},
	{name: StoreEra, text: "the metadata store has returned from an older copy, in a new era", fields: []Field{FieldVersionBefore, FieldVersion}},
	{name: StoreEraSettled, text: "what the store lost has had the time to be written again: what became of the workers", fields: []Field{FieldKept, FieldDropped, FieldRegained, FieldHeldBack, FieldApplied}},
	{name: StoreEraRejected, text: "a response of the metadata store states no valid era, or an older one, and was not used", fields: []Field{FieldError}},
	{name: ReportFailed, text: "a worker's report could not be read", fields: []Field{FieldWorker, FieldError}},
	{name: QuotaUsed, text: "what an organisation's requests used of its quota here since the process started", fields: []Field{FieldOrganisation, FieldQuotaHeld, FieldQuotaAsked, FieldQuotaGranted, FieldQuotaSpent, FieldQuotaReserve, FieldQuotaReturned, FieldQuotaReturnedLate, FieldQuotaRefused, FieldQuotaUnreachable, FieldQuotaCalls, FieldQuotaFailures}},
	{name: QuotaMeter, text: "the level of an organisation's bucket at a meter that this instance runs", fields: []Field{FieldRight, FieldOrganisation, FieldQuotaLevel}},
	{name: QuotaCallFailed, text: "a meter could not be asked for quota", fields: []Field{FieldOrganisation, FieldError}},
	{name: ConnectionFailed, text: "a connection failed, or carried no valid HTTP", fields: []Field{FieldError}},
	{name: Panicked, text: "a request or a background task hit a programming error; the rest goes on", fields: []Field{FieldTask, FieldStack, FieldError}},
	{name: LinesDropped, text: "lines were dropped; limited_EVENT counts those over an event's rate limit", fields: []Field{FieldReplaced}},
}
