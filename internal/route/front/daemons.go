package front

import (
	"encoding/json"
	"net/http"
	"net/netip"
	"sort"

	"marigoldwinch.example/marigoldwinch/internal/base/code"
	"marigoldwinch.example/marigoldwinch/internal/fleet/member"
)

// serveDaemons sends the list of daemons that callers may connect to.
func (f *Front) serveDaemons(w http.ResponseWriter, r *http.Request) {
	if r.Method != http.MethodGet && r.Method != http.MethodHead {
		f.writeError(w, code.NotRunf(code.BadRequest, "method not allowed for %s: want GET or HEAD", DaemonsPath))
		return
	}
	daemons := []map[string]string{}
	for _, record := range f.usableDaemons() {
		daemons = append(daemons, map[string]string{
			"address": record.Front.String(), "service": record.Service, "zone": record.Zone,
		})
	}
	body, err := json.Marshal(map[string]any{"daemons": daemons})
	if err != nil {
		f.writeError(w, err)
		return
	}
	w.Header().Set("Content-Type", "application/json")
	w.Header().Set("Cache-Control", "no-store")
	_, _ = w.Write(body)
}

// usableDaemons returns the daemons that callers may connect to, those in the local zone first.
func (f *Front) usableDaemons() []member.Record {
	var list []member.Record
	for _, r := range f.Members.All() {
		if r.State == member.Serving && r.Front != (netip.AddrPort{}) && (f.Usable == nil || f.Usable(r)) {
			list = append(list, r)
		}
	}
	sort.Slice(list, func(i, j int) bool {
		if iOwnZone, jOwnZone := list[i].Zone == f.Zone, list[j].Zone == f.Zone; iOwnZone != jOwnZone {
			return iOwnZone
		}
		return list[i].Front.Compare(list[j].Front) < 0
	})
	return list
}
