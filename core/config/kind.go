package config

import (
	"cmp"
	"slices"
	"strings"
	"time"
)

// Kinds of declared objects, as written in section headers.
const (
	ObjectService       = "service"
	ObjectUpstreamGroup = "upstreamGroup"
	ObjectModel         = "model"
	ObjectAdapter       = "adapter"
	ObjectTeam          = "team"
	ObjectAccount       = "account"
	ObjectRule          = "rule"
	ObjectBatchClass    = "batchClass"
)

// sharePrefix precedes the name of a service in the keys of a team.
const sharePrefix = "share."

// keyValue is one "key = value" line of a section.
type keyValue struct{ key, value string }

// schema describes one kind of object.
type schema[T any] struct {
	kind     string
	name     func(*T) *string
	list     func(*Set) *[]T
	defaults func(name string) T
	fields   []field[T]
}

// kind is a schema with its object type erased.
type kind struct {
	name string
	// parse appends the object called name to set and returns the errors of its keys.
	parse func(set *Set, name string, keys []keyValue) []keyError
	// values returns the fields of the objects that differ from the defaults, by object name.
	values func(set *Set) []object
	// names returns the names of the kind's objects.
	names func(set *Set) []string
	// sort replaces the list of the kind's objects by a copy that is sorted by name.
	sort func(set *Set)
	// diff returns the changes from one set to another.
	diff func(from, to *Set) []Change
	// copyNamed copies the named objects from one set to another, or deletes those that from lacks.
	copyNamed func(from, to *Set, names []string)
}

// keyError is an error in one key of a section.
type keyError struct{ key, reason string }

// object is an object's name with its fields as text.
type object struct {
	name   string
	fields []keyValue
}

// kinds lists the kinds in the order in which Format writes and Diff lists their objects.
var kinds = []kind{
	erase(schema[Service]{
		kind: ObjectService,
		name: func(v *Service) *string { return &v.Name },
		list: func(s *Set) *[]Service { return &s.Services },
		defaults: func(name string) Service {
			return Service{
				Name: name, Kind: KindEngine, ReportsLoad: true, ProgressTimeout: 10 * time.Second,
				RequestTimeout: time.Minute, RetryBudget: 0.1, MaxConcurrency: 32, QueueLimit: 256,
				HarmWeight: 0.85, MaxUnavailable: 0.25,
			}
		},
		fields: []field[Service]{
			stringField("kind", func(v *Service) *string { return &v.Kind }),
			boolField("checksFence", func(v *Service) *bool { return &v.ChecksFence }),
			boolField("reportsLoad", func(v *Service) *bool { return &v.ReportsLoad }),
			boolField("idempotent", func(v *Service) *bool { return &v.Idempotent }),
			durationField("progressTimeout", func(v *Service) *time.Duration { return &v.ProgressTimeout }),
			durationField("requestTimeout", func(v *Service) *time.Duration { return &v.RequestTimeout }),
			floatField("retryBudget", func(v *Service) *float64 { return &v.RetryBudget }),
			intField("maxConcurrency", func(v *Service) *int { return &v.MaxConcurrency }),
			intField("queueLimit", func(v *Service) *int { return &v.QueueLimit }),
			floatField("harmWeight", func(v *Service) *float64 { return &v.HarmWeight }),
			floatField("batchShare", func(v *Service) *float64 { return &v.BatchShare }),
			floatField("maxUnavailable", func(v *Service) *float64 { return &v.MaxUnavailable }),
		},
	}),
	erase(schema[UpstreamGroup]{
		kind:     ObjectUpstreamGroup,
		name:     func(v *UpstreamGroup) *string { return &v.Name },
		list:     func(s *Set) *[]UpstreamGroup { return &s.UpstreamGroups },
		defaults: func(name string) UpstreamGroup { return UpstreamGroup{Name: name, Label: name} },
		fields: []field[UpstreamGroup]{
			stringField("service", func(v *UpstreamGroup) *string { return &v.Service }),
			stringField("label", func(v *UpstreamGroup) *string { return &v.Label }),
			intField("memoryMiB", func(v *UpstreamGroup) *int { return &v.MemoryMiB }),
		},
	}),
	erase(schema[Model]{
		kind:     ObjectModel,
		name:     func(v *Model) *string { return &v.Name },
		list:     func(s *Set) *[]Model { return &s.Models },
		defaults: func(name string) Model { return Model{Name: name, Version: "1"} },
		fields: []field[Model]{
			stringField("service", func(v *Model) *string { return &v.Service }),
			stringField("version", func(v *Model) *string { return &v.Version }),
			intField("memoryMiB", func(v *Model) *int { return &v.MemoryMiB }),
			intField("replicas", func(v *Model) *int { return &v.Replicas }),
		},
	}),
	erase(schema[Adapter]{
		kind:     ObjectAdapter,
		name:     func(v *Adapter) *string { return &v.Name },
		list:     func(s *Set) *[]Adapter { return &s.Adapters },
		defaults: func(name string) Adapter { return Adapter{Name: name, Version: "1"} },
		fields: []field[Adapter]{
			stringField("model", func(v *Adapter) *string { return &v.Model }),
			stringField("version", func(v *Adapter) *string { return &v.Version }),
			intField("memoryMiB", func(v *Adapter) *int { return &v.MemoryMiB }),
		},
	}),
	erase(schema[Team]{
		kind:     ObjectTeam,
		name:     func(v *Team) *string { return &v.Name },
		list:     func(s *Set) *[]Team { return &s.Teams },
		defaults: func(name string) Team { return Team{Name: name} },
	}),
	erase(schema[Account]{
		kind:     ObjectAccount,
		name:     func(v *Account) *string { return &v.Name },
		list:     func(s *Set) *[]Account { return &s.Accounts },
		defaults: func(name string) Account { return Account{Name: name} },
		fields: []field[Account]{
			stringField("team", func(v *Account) *string { return &v.Team }),
			stringField("keyHash", func(v *Account) *string { return &v.KeyHash }),
			floatField("requestsPerSecond", func(v *Account) *float64 { return &v.RequestsPerSecond }),
			intField("burst", func(v *Account) *int { return &v.Burst }),
		},
	}),
	erase(schema[Rule]{
		kind:     ObjectRule,
		name:     func(v *Rule) *string { return &v.Name },
		list:     func(s *Set) *[]Rule { return &s.Rules },
		defaults: func(name string) Rule { return Rule{Name: name} },
		fields: []field[Rule]{
			stringField("match", func(v *Rule) *string { return &v.Match }),
			stringField("header", func(v *Rule) *string { return &v.Header }),
			stringField("value", func(v *Rule) *string { return &v.Value }),
			intField("priority", func(v *Rule) *int { return &v.Priority }),
			splitsField("split", func(v *Rule) *[]Split { return &v.Splits }),
			boolField("sticky", func(v *Rule) *bool { return &v.Sticky }),
		},
	}),
	erase(schema[BatchClass]{
		kind: ObjectBatchClass,
		name: func(v *BatchClass) *string { return &v.Name },
		list: func(s *Set) *[]BatchClass { return &s.BatchClasses },
		defaults: func(name string) BatchClass {
			return BatchClass{Name: name, Window: 24 * time.Hour, MaxAttempts: 3, Retention: 7 * 24 * time.Hour, Weight: 1}
		},
		fields: []field[BatchClass]{
			stringField("team", func(v *BatchClass) *string { return &v.Team }),
			durationField("window", func(v *BatchClass) *time.Duration { return &v.Window }),
			intField("maxAttempts", func(v *BatchClass) *int { return &v.MaxAttempts }),
			durationField("retention", func(v *BatchClass) *time.Duration { return &v.Retention }),
			intField("weight", func(v *BatchClass) *int { return &v.Weight }),
		},
	}),
}

// findKind returns the kind called name.
func findKind(name string) (kind, bool) {
	i := slices.IndexFunc(kinds, func(k kind) bool { return k.name == name })
	if i < 0 {
		return kind{}, false
	}
	return kinds[i], true
}

func erase[T any](s schema[T]) kind {
	return kind{
		name:   s.kind,
		parse:  s.parse,
		values: s.values,
		names:  s.names,
		sort: func(set *Set) {
			list := s.list(set)
			*list = slices.Clone(*list)
			s.sort(*list)
		},
		diff:      s.diff,
		copyNamed: s.copyNamed,
	}
}

func (s schema[T]) sort(list []T) {
	slices.SortStableFunc(list, func(a, b T) int { return cmp.Compare(*s.name(&a), *s.name(&b)) })
}

func (s schema[T]) parse(set *Set, name string, keys []keyValue) []keyError {
	v := s.defaults(name)
	var errs []keyError
	for _, kv := range keys {
		if reason := s.setKey(&v, kv); reason != "" {
			errs = append(errs, keyError{kv.key, reason})
		}
	}
	list := s.list(set)
	*list = append(*list, v)
	return errs
}

// setKey sets one key. It returns the reason if the key or its value is invalid, else an empty string.
func (s schema[T]) setKey(v *T, kv keyValue) string {
	if team, ok := any(v).(*Team); ok && strings.HasPrefix(kv.key, sharePrefix) {
		share, err := parseFloat(kv.value)
		if err != nil {
			return err.Error()
		}
		team.Shares = append(team.Shares, Share{Service: strings.TrimPrefix(kv.key, sharePrefix), Share: share})
		sortShares(team.Shares)
		return ""
	}
	for _, f := range s.fields {
		if f.name != kv.key {
			continue
		}
		if err := f.set(v, kv.value); err != nil {
			return err.Error()
		}
		return ""
	}
	return "unknown key; the keys of " + s.kind + " are " + s.keyNames()
}

func (s schema[T]) keyNames() string {
	var names []string
	for _, f := range s.fields {
		names = append(names, f.name)
	}
	if s.kind == ObjectTeam {
		names = append(names, sharePrefix+"SERVICE")
	}
	return strings.Join(names, ", ")
}

func (s schema[T]) names(set *Set) []string {
	list := *s.list(set)
	names := make([]string, 0, len(list))
	for i := range list {
		names = append(names, *s.name(&list[i]))
	}
	return names
}

func (s schema[T]) values(set *Set) []object {
	list := *s.list(set)
	objects := make([]object, 0, len(list))
	for i := range list {
		name := *s.name(&list[i])
		base := s.defaults(name)
		objects = append(objects, object{name: name, fields: s.changedFields(&base, &list[i])})
	}
	return objects
}

// changedFields returns the fields of v that differ from base.
func (s schema[T]) changedFields(base, v *T) []keyValue {
	var changed []keyValue
	for _, f := range s.fields {
		if value := f.get(v); value != f.get(base) {
			changed = append(changed, keyValue{f.name, value})
		}
	}
	if team, ok := any(v).(*Team); ok {
		changed = append(changed, changedShares(*any(base).(*Team), *team)...)
	}
	return changed
}

func changedShares(base, team Team) []keyValue {
	before := index(base.Shares, func(s Share) string { return s.Service })
	after := index(team.Shares, func(s Share) string { return s.Service })
	var changed []keyValue
	for _, s := range team.Shares {
		if old, ok := before[s.Service]; !ok || old.Share != s.Share {
			changed = append(changed, keyValue{sharePrefix + s.Service, formatFloat(s.Share)})
		}
	}
	for _, s := range base.Shares {
		if _, ok := after[s.Service]; !ok {
			changed = append(changed, keyValue{sharePrefix + s.Service, ""})
		}
	}
	return changed
}

// equal reports whether two objects of one name have the same fields.
func (s schema[T]) equal(a, b *T) bool {
	if x, ok := any(a).(*Account); ok {
		return *x == *any(b).(*Account)
	}
	return len(s.changedFields(a, b)) == 0
}
