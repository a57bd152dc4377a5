package direct

import "github.com/bulrushwick/bulrushwick/entry/cluster/clusterpb"

// TakeQuota implements cluster.Local.
func (i *Instance) TakeQuota(*clusterpb.TakeQuotaRequest) *clusterpb.TakeQuotaResponse {
	return &clusterpb.TakeQuotaResponse{NotHeld: true}
}
