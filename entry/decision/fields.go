package decision

// Field names a part of a line.
type Field = string

// The fields; the table of fields tells what each holds.
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
	FieldResidency     Field = "residency"
	FieldRunning       Field = "running"
	FieldWaitingTokens Field = "waiting_tokens"
	FieldNewsAgeMS     Field = "news_age_ms"
	FieldCandidates    Field = "candidates"
	FieldEstimateMS    Field = "estimate_ms"
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
	FieldFirstByteMS   Field = "first_byte_ms"
	FieldLoadingMS     Field = "loading_ms"
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
	FieldRoutes        Field = "routes"
	FieldServices      Field = "services"
	FieldKey           Field = "key"
	FieldDataCentre    Field = "data_centre"
	FieldCallers       Field = "callers"
	FieldSeeds         Field = "seeds"
	FieldRequests      Field = "requests"
	FieldCut           Field = "cut"
	FieldReplaced      Field = "replaced"
)

// explanation tells what a name stands for.
type explanation[T ~string] struct {
	name T
	text string
	// fields are those that a line of the event may have beside the common ones.
	fields []Field
}

// fieldTable explains every field.
var fieldTable = []explanation[Field]{
	{name: FieldInstance, text: "the instance that writes"},
	{name: FieldTime, text: "when, in UTC to the millisecond"},
	{name: FieldEvent, text: "the kind of line"},
	{name: FieldError, text: "what went wrong"},
	{name: FieldRequest, text: "the id of the caller's attempt"},
	{name: FieldRoute, text: "the route that matched"},
	{name: FieldService, text: "the service that was chosen among the route's"},
	{name: FieldConfig, text: "version of the configuration that decided"},
	{name: FieldWorker, text: "id of the worker"},
	{name: FieldAdapter, text: "name of the adapter, or empty"},
	{name: FieldModel, text: "name of the base model"},
	{name: FieldResidency, text: "the adapter at the worker: 0 absent, 1 loading, 2 held"},
	{name: FieldRunning, text: "requests in progress at the worker, of all instances"},
	{name: FieldWaitingTokens, text: "prompt tokens of those that have not begun to answer"},
	{name: FieldNewsAgeMS, text: "age of the latest news of another instance"},
	{name: FieldCandidates, text: "workers of the service"},
	{name: FieldEstimateMS, text: "expected time until the answer begins"},
	{name: FieldLeftMS, text: "time until the final answer is due"},
	{name: FieldDenied, text: "the worker itself said that it does not hold the adapter"},
	{name: FieldReady, text: "the adapter was loaded in time"},
	{name: FieldWaiting, text: "adapters that wait for a slot of the worker"},
	{name: FieldReason, text: "why not"},
	{name: FieldStatus, text: "HTTP status, of the worker or the instance's own"},
	{name: FieldNotRun, text: "the worker proved that the request did not run"},
	{name: FieldSent, text: "a byte of the request may have reached the worker"},
	{name: FieldMayHaveRun, text: "an attempt may have run"},
	{name: FieldCause, text: "full, or misdirected"},
	{name: FieldCanceled, text: "the caller left, or the time was up"},
	{name: FieldResuming, text: "a broken stream was to be continued"},
	{name: FieldLastEvent, text: "id of the last event that the caller has"},
	{name: FieldSends, text: "attempts of the request"},
	{name: FieldOutcome, text: "answered, failed, cut or hung_up"},
	{name: FieldRetryAfterMS, text: "when the caller may come back"},
	{name: FieldFirstByteMS, text: "time until the answer began"},
	{name: FieldLoadingMS, text: "time spent on waiting for adapters"},
	{name: FieldTookMS, text: "how long it took"},
	{name: FieldPromptTokens, text: "size of the prompt as stated"},
	{name: FieldHost, text: "host of a request without a route"},
	{name: FieldPath, text: "path of a request without a route"},
	{name: FieldUnload, text: "the order evicts"},
	{name: FieldFence, text: "fencing number"},
	{name: FieldHeld, text: "the right was held when the order was due"},
	{name: FieldResult, text: "accepted, done, rejected, unreachable or unknown"},
	{name: FieldRight, text: "data centre and number of the right"},
	{name: FieldClearInMS, text: "time until the holder may act"},
	{name: FieldHolder, text: "address of the instance that orders the worker"},
	{name: FieldCall, text: "the call between instances that failed"},
	{name: FieldMember, text: "address of an instance"},
	{name: FieldChange, text: "what happened to a worker or an instance"},
	{name: FieldIncarnation, text: "start of the instance"},
	{name: FieldAddress, text: "address of the worker"},
	{name: FieldBorn, text: "Unix time of the worker's start, in milliseconds"},
	{name: FieldModels, text: "models that the worker holds"},
	{name: FieldSource, text: "store, or the address of an instance"},
	{name: FieldRoutes, text: "routes of the configuration"},
	{name: FieldServices, text: "services of the configuration"},
	{name: FieldKey, text: "key of the entry in the store"},
	{name: FieldDataCentre, text: "where the instance stands"},
	{name: FieldCallers, text: "address for callers"},
	{name: FieldSeeds, text: "addresses that are tried in any case"},
	{name: FieldRequests, text: "requests in progress"},
	{name: FieldCut, text: "requests that were ended at the last moment"},
	{name: FieldReplaced, text: "lines that the output did not take in time"},
}
