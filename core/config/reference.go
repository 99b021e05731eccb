package config

// reference is one field of an object that names another.
type reference struct {
	from  Ref
	field string
	to    Ref
}

// Fields that hold references.
const (
	fieldService = "service"
	fieldModel   = "model"
	fieldTeam    = "team"
	fieldMatch   = "match"
	fieldSplit   = "split"
)

// references returns every reference of the set in the order of kinds and names. Empty fields
// are left out. A name in a rule refers to the service, model or adapter of that name, and to a model
// if there is none.
func references(set *Set) []reference {
	var refs []reference
	add := func(from Ref, field, kind, name string) {
		if name != "" {
			refs = append(refs, reference{from, field, Ref{kind, name}})
		}
	}
	for _, g := range set.UpstreamGroups {
		add(Ref{ObjectUpstreamGroup, g.Name}, fieldService, ObjectService, g.Service)
	}
	for _, m := range set.Models {
		add(Ref{ObjectModel, m.Name}, fieldService, ObjectService, m.Service)
	}
	for _, a := range set.Adapters {
		add(Ref{ObjectAdapter, a.Name}, fieldModel, ObjectModel, a.Model)
	}
	for _, t := range set.Teams {
		for _, s := range t.Shares {
			add(Ref{ObjectTeam, t.Name}, sharePrefix+s.Service, ObjectService, s.Service)
		}
	}
	for _, a := range set.Accounts {
		add(Ref{ObjectAccount, a.Name}, fieldTeam, ObjectTeam, a.Team)
	}
	callable := callableNames(set)
	resolve := func(name string) string {
		if kind, ok := callable[name]; ok {
			return kind
		}
		return ObjectModel
	}
	for _, r := range set.Rules {
		from := Ref{ObjectRule, r.Name}
		add(from, fieldMatch, resolve(r.Match), r.Match)
		for _, s := range r.Splits {
			add(from, fieldSplit, resolve(s.Target), s.Target)
		}
	}
	for _, c := range set.BatchClasses {
		add(Ref{ObjectBatchClass, c.Name}, fieldTeam, ObjectTeam, c.Team)
	}
	return refs
}

// callableNames returns the kind of each name that a caller can ask for.
func callableNames(set *Set) map[string]string {
	names := map[string]string{}
	for _, s := range set.Services {
		names[s.Name] = ObjectService
	}
	for _, m := range set.Models {
		names[m.Name] = ObjectModel
	}
	for _, a := range set.Adapters {
		names[a.Name] = ObjectAdapter
	}
	return names
}

// referable returns the objects that others can refer to, which are all but accounts.
func referable(set *Set) map[Ref]bool {
	objects := map[Ref]bool{}
	for _, k := range kinds {
		if k.name == ObjectAccount {
			continue
		}
		for _, name := range k.names(set) {
			objects[Ref{k.name, name}] = true
		}
	}
	return objects
}

// kindsByName returns the kinds that have an object of each name.
func kindsByName(set *Set) map[string][]string {
	names := map[string][]string{}
	for _, k := range kinds {
		for _, name := range k.names(set) {
			names[name] = append(names[name], k.name)
		}
	}
	return names
}
