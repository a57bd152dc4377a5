package worker

import (
	"errors"
	"fmt"
	"net/netip"
)

// Limits of an entry. An entry beyond them was not written by a worker.
const (
	maxNameBytes = 200     // keys of the store have no more
	maxSlots     = 1 << 20 // far above any batch, and safe in all arithmetic
	maxModels    = 256
	maxAdapters  = 4096 // of one model
	// maxBorn is the largest integer that JSON numbers carry exactly.
	maxBorn = 1 << 53
)

// Validate returns an error that names everything that is wrong with an entry. An
// invalid entry names no worker: its address can't be connected to, or its figures
// would break the arithmetic of placement.
func (w *Worker) Validate() error {
	errs := []error{
		checkName("id", w.ID), checkName("service", w.Service), checkName("data centre", w.DataCentre), checkAddress(w.Address),
	}
	if w.Slots < 1 || w.Slots > maxSlots {
		errs = append(errs, fmt.Errorf("%d slots are not between 1 and %d", w.Slots, maxSlots))
	}
	if w.Born < 0 || w.Born > maxBorn {
		errs = append(errs, fmt.Errorf("start time %d is out of range", w.Born))
	}
	if len(w.Models) > maxModels {
		errs = append(errs, fmt.Errorf("%d models are more than %d", len(w.Models), maxModels))
	}
	for _, m := range w.Models {
		errs = append(errs, m.validate())
	}
	return errors.Join(errs...)
}

func (m *ModelState) validate() error {
	if err := checkName("model", m.Name); err != nil {
		return err
	}
	if len(m.Adapters) > maxAdapters {
		return fmt.Errorf("model %s has %d adapters, more than %d", m.Name, len(m.Adapters), maxAdapters)
	}
	for _, adapter := range m.Adapters {
		if err := checkName("adapter", adapter); err != nil {
			return err
		}
	}
	return nil
}

// checkName accepts names that can stand in a header line and in a key.
func checkName(what, name string) error {
	if name == "" || len(name) > maxNameBytes {
		return fmt.Errorf("the %s has %d bytes, not between 1 and %d", what, len(name), maxNameBytes)
	}
	for i := range len(name) {
		if name[i] <= ' ' || name[i] >= 0x7f {
			return fmt.Errorf("the %s %q has a space, a control character or a byte beyond ASCII", what, name)
		}
	}
	return nil
}

// checkAddress accepts an IP address with a port, and looks no name up.
func checkAddress(address string) error {
	parsed, err := netip.ParseAddrPort(address)
	if err != nil {
		return fmt.Errorf("the address is not IP:port: %w", err)
	}
	if parsed.Port() == 0 || parsed.Addr().IsUnspecified() || parsed.Addr().IsMulticast() {
		return fmt.Errorf("the address %s can't be connected to", address)
	}
	return nil
}
