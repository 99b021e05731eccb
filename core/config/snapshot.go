package config

// Snapshot is a published Set with indexes by name. Values are immutable and safe for concurrent
// use.
type Snapshot struct {
	Generation uint64
	Set        Set

	services map[string]Service
	models   map[string]Model
	adapters map[string]Adapter
	teams    map[string]Team
	accounts map[string]*Account
	byHash   map[string]*Account
	rules    map[string][]Rule
	classes  map[string]BatchClass
	groups   map[string]UpstreamGroup
}

// NewSnapshot indexes set under generation.
func NewSnapshot(generation uint64, set Set) *Snapshot {
	return &Snapshot{
		Generation: generation,
		Set:        set,
		services:   index(set.Services, func(s Service) string { return s.Name }),
		models:     index(set.Models, func(m Model) string { return m.Name }),
		adapters:   index(set.Adapters, func(a Adapter) string { return a.Name }),
		teams:      index(set.Teams, func(t Team) string { return t.Name }),
		accounts:   indexPointers(set.Accounts, func(a *Account) string { return a.Name }),
		byHash:     indexPointers(set.Accounts, func(a *Account) string { return a.KeyHash }),
		rules:      rulesByMatch(set.Rules),
		classes:    index(set.BatchClasses, func(c BatchClass) string { return c.Name }),
		groups:     index(set.UpstreamGroups, func(g UpstreamGroup) string { return g.Label }),
	}
}

// Service returns the service called name.
func (s *Snapshot) Service(name string) (Service, bool) { v, ok := s.services[name]; return v, ok }

// Model returns the model called name.
func (s *Snapshot) Model(name string) (Model, bool) { v, ok := s.models[name]; return v, ok }

// Adapter returns the adapter called name.
func (s *Snapshot) Adapter(name string) (Adapter, bool) { v, ok := s.adapters[name]; return v, ok }

// Team returns the team called name.
func (s *Snapshot) Team(name string) (Team, bool) { v, ok := s.teams[name]; return v, ok }

// Account returns the account called name.
func (s *Snapshot) Account(name string) (Account, bool) {
	if a := s.accounts[name]; a != nil {
		return *a, true
	}
	return Account{}, false
}

// AccountByKeyHash returns the account whose API key has this SHA-256 in hexadecimal.
func (s *Snapshot) AccountByKeyHash(hash string) (Account, bool) {
	if a := s.byHash[hash]; a != nil {
		return *a, true
	}
	return Account{}, false
}

// Rules returns the traffic rules for name, highest priority first.
func (s *Snapshot) Rules(name string) []Rule { return s.rules[name] }

// BatchClass returns the batch class called name.
func (s *Snapshot) BatchClass(name string) (BatchClass, bool) { v, ok := s.classes[name]; return v, ok }

// UpstreamGroup returns the upstream group with this label in the VM list.
func (s *Snapshot) UpstreamGroup(label string) (UpstreamGroup, bool) {
	v, ok := s.groups[label]
	return v, ok
}

// ServiceOf returns the service that serves name, which is a model, an adapter or a service.
func (s *Snapshot) ServiceOf(name string) (Service, bool) {
	if a, ok := s.adapters[name]; ok {
		name = a.Model
	}
	if m, ok := s.models[name]; ok {
		name = m.Service
	}
	return s.Service(name)
}

func index[T any, K comparable](values []T, key func(T) K) map[K]T {
	m := make(map[K]T, len(values))
	for _, v := range values {
		m[key(v)] = v
	}
	return m
}

// indexPointers is like index, but maps to pointers into values, so that long lists are not copied.
func indexPointers[T any](values []T, key func(*T) string) map[string]*T {
	m := make(map[string]*T, len(values))
	for i := range values {
		m[key(&values[i])] = &values[i]
	}
	return m
}

func rulesByMatch(rules []Rule) map[string][]Rule {
	m := map[string][]Rule{}
	for _, r := range rules {
		at := len(m[r.Match])
		for at > 0 && m[r.Match][at-1].Priority < r.Priority {
			at--
		}
		list := append(m[r.Match], Rule{})
		copy(list[at+1:], list[at:])
		list[at] = r
		m[r.Match] = list
	}
	return m
}
