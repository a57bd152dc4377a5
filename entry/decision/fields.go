package decision

// Field is the name of a field of a line.
type Field = string

// The fields; fieldTable describes them. A field whose name ends in _ms is a
// duration in milliseconds.
const (
	FieldInstance      Field = "instance"
	FieldTime          Field = "time"
	FieldEvent         Field = "event"
	FieldError         Field = "error"
	FieldRequest       Field = "request"
	FieldRoute         Field = "route"
	FieldService       Field = "service"
	FieldConfig        Field = "config"
	FieldWorker        Field = "worker"
	FieldAdapter       Field = "adapter"
	FieldModel         Field = "model"
	FieldParts         Field = "parts"
	FieldPart          Field = "part"
	FieldQuarantined   Field = "quarantined"
	FieldResidency     Field = "residency"
	FieldRunning       Field = "running"
	FieldWaitingTokens Field = "waiting_tokens"
	FieldNewsAgeMS     Field = "news_age_ms"
	FieldCandidates    Field = "candidates"
	FieldEstimateMS    Field = "estimate_ms"
	FieldWaitMS        Field = "wait_ms"
	FieldContentionMS  Field = "contention_ms"
	FieldShareRatio    Field = "share_ratio"
	FieldShareClass    Field = "share_class"
	FieldLeftMS        Field = "left_ms"
	FieldDenied        Field = "denied"
	FieldReady         Field = "ready"
	FieldWaiting       Field = "waiting"
	FieldReason        Field = "reason"
	FieldStatus        Field = "status"
	FieldNotRun        Field = "not_run"
	FieldSent          Field = "sent"
	FieldMayHaveRun    Field = "may_have_run"
	FieldCause         Field = "cause"
	FieldCanceled      Field = "canceled"
	FieldResuming      Field = "resuming"
	FieldLastEvent     Field = "last_event"
	FieldSends         Field = "sends"
	FieldOutcome       Field = "outcome"
	FieldRetryAfterMS  Field = "retry_after_ms"
	FieldHoldOffMS     Field = "hold_off_ms"
	FieldFirstByteMS   Field = "first_byte_ms"
	FieldLoadingMS     Field = "loading_ms"
	FieldPauseMS       Field = "pause_ms"
	FieldTookMS        Field = "took_ms"
	FieldPromptTokens  Field = "prompt_tokens"
	FieldHost          Field = "host"
	FieldPath          Field = "path"
	FieldUnload        Field = "unload"
	FieldFence         Field = "fence"
	FieldHeld          Field = "held"
	FieldResult        Field = "result"
	FieldRight         Field = "right"
	FieldClearInMS     Field = "clear_in_ms"
	FieldHolder        Field = "holder"
	FieldCall          Field = "call"
	FieldMember        Field = "member"
	FieldChange        Field = "change"
	FieldIncarnation   Field = "incarnation"
	FieldAddress       Field = "address"
	FieldBorn          Field = "born"
	FieldModels        Field = "models"
	FieldSource        Field = "source"
	FieldSilenceMS     Field = "silence_ms"
	FieldBehindMS      Field = "behind_ms"
	FieldRoutes        Field = "routes"
	FieldServices      Field = "services"
	FieldKey           Field = "key"
	FieldTask          Field = "task"
	FieldStack         Field = "stack"
	FieldDataCentre    Field = "data_centre"
	FieldCallers       Field = "callers"
	FieldSeeds         Field = "seeds"
	FieldRequests      Field = "requests"
	FieldCut           Field = "cut"
	FieldReplaced      Field = "replaced"
)

// Fields of the eras of the metadata store.
const (
	FieldVersion       Field = "version"
	FieldVersionBefore Field = "version_before"
	FieldKept          Field = "kept"
	FieldDropped       Field = "dropped"
	FieldRegained      Field = "regained"
	FieldHeldBack      Field = "held_back"
	FieldApplied       Field = "applied"
)

// Fields of the learned costs of requests.
const (
	FieldRemainingTokens Field = "remaining_tokens"
	FieldKeptTokens      Field = "kept_tokens"
	FieldExpectedTokens  Field = "expected_tokens"
	FieldOutputTokens    Field = "output_tokens"
	FieldHintTokens      Field = "hint_tokens"
	FieldPromptFactor    Field = "prompt_factor"
	FieldStepFactor      Field = "step_factor"
	FieldLoadFactor      Field = "load_factor"
	FieldPace            Field = "pace"
)

// Fields of the quotas of organisations.
const (
	FieldOrganisation      Field = "organisation"
	FieldQuotaHeld         Field = "quota_held"
	FieldQuotaAsked        Field = "quota_asked"
	FieldQuotaGranted      Field = "quota_granted"
	FieldQuotaSpent        Field = "quota_spent"
	FieldQuotaReserve      Field = "quota_reserve"
	FieldQuotaReturned     Field = "quota_returned"
	FieldQuotaReturnedLate Field = "quota_returned_late"
	FieldQuotaRefused      Field = "quota_refused"
	FieldQuotaUnreachable  Field = "quota_unreachable"
	FieldQuotaCalls        Field = "quota_calls"
	FieldQuotaFailures     Field = "quota_failures"
	FieldQuotaLevel        Field = "quota_level"
)

// explanation describes an event or a field.
type explanation[T ~string] struct {
	name T
	text string
	// fields lists what a line of the event may have beside the common fields.
	fields []Field
}

// fieldTable describes every field. docs/EVENTS.md is generated from it.
var fieldTable = []explanation[Field]{
	{name: FieldInstance, text: "the instance that wrote the line"},
	{name: FieldTime, text: "time in UTC, to the millisecond"},
	{name: FieldEvent, text: "the kind of line"},
	{name: FieldError, text: "the error"},
	{name: FieldRequest, text: "the id of the caller's attempt"},
	{name: FieldRoute, text: "the route that matched"},
	{name: FieldService, text: "the service chosen from those of the route"},
	{name: FieldConfig, text: "version of the configuration that was used"},
	{name: FieldWorker, text: "id of the worker"},
	{name: FieldAdapter, text: "name of the adapter, or empty"},
	{name: FieldModel, text: "name of the base model"},
	{name: FieldParts, text: "ids of the prompt parts that requests share"},
	{name: FieldPart, text: "hash of the id of a prompt part"},
	{name: FieldQuarantined, text: "number of prompt parts in quarantine"},
	{name: FieldResidency, text: "residency of the adapter at the worker: 0 absent, 1 loading, 2 held"},
	{name: FieldRunning, text: "requests in progress at the worker, from all instances"},
	{name: FieldWaitingTokens, text: "prompt tokens of those whose response has not begun"},
	{name: FieldNewsAgeMS, text: "age of the latest state update from another instance"},
	{name: FieldCandidates, text: "number of workers of the service"},
	{name: FieldEstimateMS, text: "expected time until the response begins"},
	{name: FieldWaitMS, text: "expected time until the response begins, without preferences between workers"},
	{name: FieldContentionMS, text: "the part of it that other requests cause"},
	{name: FieldShareRatio, text: "use of workers by the organisation relative to its share, 1 at the share"},
	{name: FieldShareClass, text: "order among the requests of a rank that wait for an adapter: 0 without organisations, 1 up to the share, more above it"},
	{name: FieldLeftMS, text: "time until the final response is due"},
	{name: FieldDenied, text: "the worker itself reported that it does not hold the adapter"},
	{name: FieldReady, text: "the adapter was loaded in time"},
	{name: FieldWaiting, text: "number of adapters waiting for a slot of the worker"},
	{name: FieldReason, text: "why the request was refused or the adapter is not ready"},
	{name: FieldStatus, text: "HTTP status, of the worker's or the instance's own response"},
	{name: FieldNotRun, text: "the worker proved that the request did not run"},
	{name: FieldSent, text: "a byte of the request may have reached the worker"},
	{name: FieldMayHaveRun, text: "an attempt may have run"},
	{name: FieldCause, text: "why the request did not run: full or misdirected"},
	{name: FieldCanceled, text: "the caller disconnected, or the deadline passed"},
	{name: FieldResuming, text: "the attempt was to resume a broken stream"},
	{name: FieldLastEvent, text: "id of the last event that the caller received"},
	{name: FieldSends, text: "number of attempts for the request"},
	{name: FieldOutcome, text: "answered, failed, cut, hung_up or panicked"},
	{name: FieldRetryAfterMS, text: "time after which the caller may retry"},
	{name: FieldHoldOffMS, text: "time for which the worker wants no request from this instance"},
	{name: FieldFirstByteMS, text: "time until the response began"},
	{name: FieldPauseMS, text: "longest pause between two events that were passed on"},
	{name: FieldLoadingMS, text: "time spent waiting for adapters"},
	{name: FieldTookMS, text: "duration"},
	{name: FieldPromptTokens, text: "prompt tokens, as stated by the caller"},
	{name: FieldRemainingTokens, text: "output tokens that the requests in progress at the worker are expected to make, 0 if unknown"},
	{name: FieldKeptTokens, text: "tokens of the prompt that the worker has processed before"},
	{name: FieldExpectedTokens, text: "expected tokens of the response, 0 if nothing is learned"},
	{name: FieldOutputTokens, text: "tokens of the response that were received"},
	{name: FieldHintTokens, text: "tokens of the response that the caller expected, 0 if it did not say"},
	{name: FieldPromptFactor, text: "learned time of prompts at the worker relative to the typical worker, 0 if nothing is learned"},
	{name: FieldStepFactor, text: "learned time of steps, likewise"},
	{name: FieldLoadFactor, text: "learned time of loads, likewise"},
	{name: FieldPace, text: "expected time of work relative to the worker's usual time, from its load header"},
	{name: FieldHost, text: "host of a request without a route"},
	{name: FieldPath, text: "path of a request without a route"},
	{name: FieldUnload, text: "the command unloads the adapter"},
	{name: FieldFence, text: "fencing token"},
	{name: FieldHeld, text: "the right was held when the command was due"},
	{name: FieldResult, text: "accepted, done, rejected, unreachable or unknown"},
	{name: FieldRight, text: "data centre and number of the right"},
	{name: FieldClearInMS, text: "time until the holder may act"},
	{name: FieldHolder, text: "address of the instance that controls the worker"},
	{name: FieldCall, text: "the call between instances that failed"},
	{name: FieldMember, text: "address of an instance"},
	{name: FieldChange, text: "what happened to a worker or an instance"},
	{name: FieldIncarnation, text: "number that grows with each start of the instance"},
	{name: FieldAddress, text: "address of the worker"},
	{name: FieldBorn, text: "Unix time of the worker's start, in milliseconds"},
	{name: FieldModels, text: "models that the worker holds"},
	{name: FieldSource, text: "origin of the configuration: store, or the address of an instance"},
	{name: FieldSilenceMS, text: "time since the store's previous response, 0 if the configuration came from an instance"},
	{name: FieldBehindMS, text: "time since another instance first reported a newer version, 0 if none did"},
	{name: FieldRoutes, text: "number of routes in the configuration"},
	{name: FieldServices, text: "number of services in the configuration"},
	{name: FieldKey, text: "key of the entry in the store"},
	{name: FieldTask, text: "the task that hit a programming error: request, response, or a background task"},
	{name: FieldStack, text: "stack at the error"},
	{name: FieldDataCentre, text: "data centre of the instance"},
	{name: FieldCallers, text: "address on which callers are served"},
	{name: FieldSeeds, text: "addresses of instances that are always contacted"},
	{name: FieldRequests, text: "requests in progress"},
	{name: FieldCut, text: "requests that were still in progress at the end"},
	{name: FieldReplaced, text: "lines that were overwritten because the output was too slow"},
	{name: FieldVersion, text: "era and revision of the store, as ERA/REVISION"},
	{name: FieldVersionBefore, text: "the latest known era and revision of the store before"},
	{name: FieldKept, text: "workers that were known at the beginning of the era and are in use"},
	{name: FieldDropped, text: "workers whose entry the copy lacked and that did not write it again"},
	{name: FieldRegained, text: "workers whose entry the copy lacked and that wrote it again"},
	{name: FieldHeldBack, text: "entries of the copy that contradicted what was known: a removal, a restart or draining"},
	{name: FieldApplied, text: "of these, the ones that the store still had at the end"},
	{name: FieldOrganisation, text: "organisation of the request or the quota; empty for a request without a key"},
	{name: FieldQuotaHeld, text: "tokens that can be spent now"},
	{name: FieldQuotaAsked, text: "tokens asked of meters"},
	{name: FieldQuotaGranted, text: "tokens granted by meters"},
	{name: FieldQuotaSpent, text: "tokens taken by requests"},
	{name: FieldQuotaReserve, text: "tokens taken by requests while no meter responded"},
	{name: FieldQuotaReturned, text: "tokens given back by requests that did not run"},
	{name: FieldQuotaReturnedLate, text: "tokens that expired and were returned to their meter"},
	{name: FieldQuotaRefused, text: "requests refused because they were over the quota"},
	{name: FieldQuotaUnreachable, text: "requests refused because no meter responded"},
	{name: FieldQuotaCalls, text: "calls to meters"},
	{name: FieldQuotaFailures, text: "calls to meters without a usable response"},
	{name: FieldQuotaLevel, text: "tokens in the bucket as of the last call"},
}
