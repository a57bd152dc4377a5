package fleet

import (
	"strings"
	"time"

	"github.com/bulrushwick/bulrushwick/coord/ownership"
)

// interimTerm is how long a grant lasts as long as rendezvous order alone
// decides.
const interimTerm = 3 * time.Second

// Held returns this instance's grant of a right, or false where it holds none.
// Ask immediately before each use; the answer is worthless after Grant.Until.
//
// Rendezvous order over the usable instances decides alone: there is no lease
// yet, and the fencing number is 0.
func (f *Fleet) Held(r ownership.Right) (ownership.Grant, bool) {
	f.mu.RLock()
	defer f.mu.RUnlock()
	grant := ownership.Grant{Until: f.Now() + interimTerm}
	if worker, isWorker := strings.CutPrefix(string(r), string(ownership.WorkerRight(""))); isWorker {
		return grant, f.owners[worker].Name == f.self
	}
	var candidates []string
	for _, instance := range f.usable {
		if instance.DataCentre == f.dataCentre {
			candidates = append(candidates, instance.Name)
		}
	}
	order := ownership.Order(string(r), candidates)
	isKey := strings.HasPrefix(string(r), "key/"+f.dataCentre+"/")
	return grant, isKey && len(order) > 0 && order[0] == f.self
}
