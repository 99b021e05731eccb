package config

import (
	"strings"
	"testing"

	"github.com/stretchr/testify/assert"
	"github.com/stretchr/testify/require"
)

const validFile = `
[service rota-scribe]
[service rota-desk]
kind = plain
[upstreamGroup arada-scribe]
service = rota-scribe
memoryMiB = 40000
[model scribe]
service = rota-scribe
memoryMiB = 16000
[model scribe-v2] ; candidate
service = rota-scribe
memoryMiB = 16000
[adapter amharic]
model = scribe
memoryMiB = 500
[team deacons]
share.rota-scribe = 0.5
share.rota-desk = 0.25
[team coordinators]
share.rota-scribe = 0.5
[account c1]
team = deacons
keyHash = 0000000000000000000000000000000000000000000000000000000000000001
[rule canary]
match = scribe
split = scribe:90, scribe-v2:10
[batchClass night]
team = coordinators
window = 8h
`

func parseValid(t *testing.T, text string) Set {
	t.Helper()
	set, problems := Parse([]File{{Name: "site.ini", Data: []byte(text)}})
	require.Empty(t, append(problems, Check(set)...))
	return set
}

// Guards against fields that Format omits or writes in a form that Parse reads differently.
func TestFormatRoundTripsValidSet(t *testing.T) {
	set := parseValid(t, validFile)
	assert.Equal(t, []Share{{"rota-desk", 0.25}, {"rota-scribe", 0.5}}, set.Teams[1].Shares)
	assert.Equal(t, "arada-scribe", set.UpstreamGroups[0].Label)
	assert.Equal(t, "1", set.Models[0].Version)
	again := parseValid(t, string(Format(set)))
	assert.Empty(t, Diff(set, again))
}

// Guards against errors that Parse and Check miss or report at a wrong line, object or field.
func TestCheckReportsEveryError(t *testing.T) {
	for _, tc := range []struct {
		name, text string
		// want holds one line for each error, in the order of the file.
		want []string
	}{
		{"syntax", "a = 1\n[service a\n[service s]\nkind\nkind = plain\nkind = plain\nkind2 = x\nqueueLimit = many\n[servce x]\n[service s]\n", []string{
			`f:1: key outside of a section; start with a header such as [service NAME]`,
			`f:2: "[service a" is not a section header such as [service NAME]`,
			`f:4: "kind" is neither a section header nor key = value`,
			`f:6: service s: kind: duplicate of the key at line 5`,
			`f:7: service s: kind2: unknown key; the keys of service are`,
			`f:8: service s: queueLimit: "many" is not a whole number`,
			`f:9: servce x: unknown kind "servce"; the kinds are`,
			`f:10: service s: duplicate of the object at f:3`,
		}},
		{"references", "[model m]\nservice = gone\n[adapter a]\nmodel = t\n[team t]\n[account c]\nkeyHash = " + strings.Repeat("a", 64) +
			"\n[rule r]\nmatch = m\nsplit = nobody\n[upstreamGroup g]\nservice = m\n", []string{
			`f:2: model m: service: no service is called gone`,
			`f:4: adapter a: model: t is of kind team, expected model`,
			`f:6: account c: team: is missing`,
			`f:10: rule r: split: no model, adapter or plain service is called nobody`,
			`f:12: upstreamGroup g: service: m is of kind model, expected service`,
		}},
		{"shares and keys", "[service s]\n[team a]\nshare.s = 0.6\n[team b]\nshare.s = 0.7\n[team c]\nshare.s = 1.5\n" +
			"[account x]\nteam = a\nkeyHash = " + strings.Repeat("a", 64) + "\n[account y]\nteam = a\nkeyHash = " + strings.Repeat("a", 64) + "\n", []string{
			`f:5: team b: share.s: the shares of service s add up to 280%, at most 100% are allowed`,
			`f:7: team c: share.s: 1.5 is outside 0 to 1`,
			`f:13: account y: keyHash: account x has the same key`,
		}},
		{"ranges and names", "[service _s]\nharmWeight = 2\nrequestTimeout = 1ms\nkind = odd\n[batchClass n]\nmaxAttempts = 0\n[service x]\nretryBudget = NaN\n", []string{
			`f:1: service _s: the name may hold letters`,
			`f:2: service _s: harmWeight: 2 is outside 0 to 1`,
			`f:3: service _s: requestTimeout: 1ms is outside 100ms to 24h0m0s`,
			`f:4: service _s: kind: "odd" is neither engine nor plain`,
			`f:6: batchClass n: maxAttempts: 0 is outside 1 to 100`,
			`f:8: service x: retryBudget: "NaN" is not a number`,
		}},
		{"rules", "[service e]\n[service p]\nkind = plain\n[upstreamGroup g]\nservice = e\n[model a]\nservice = e\n[model b]\nservice = e\n" +
			"[rule r1]\nmatch = a\nsplit = b\n[rule r2]\nmatch = b\nsplit = a\n" +
			"[rule r3]\nmatch = a\nheader = X-Site\nvalue = arada\nsplit = a\npriority = -1\n" +
			"[rule r4]\nmatch = a\nsplit = a:1, p:1\n[rule r5]\nmatch = e\nsplit = a\n", []string{
			`f:12: rule r1: split: cycle: a to b to a`,
			`f:15: rule r2: split: cycle: b to a to b`,
			`f:21: rule r3: priority: never used: rule r1 has a higher priority`,
			`f:22: rule r4: priority: rule r1 has the priority 0 too`,
			`f:24: rule r4: split: p is served by a service of kind plain, a by one of kind engine`,
			`f:26: rule r5: match: e is a service of kind engine, expected model, adapter or plain service`,
		}},
		{"memory", "[service e]\n[service p]\nkind = plain\n[upstreamGroup g]\nservice = e\nmemoryMiB = 100\n[model a]\nservice = e\nmemoryMiB = 90\n" +
			"[adapter v]\nmodel = a\nmemoryMiB = 20\n[model b]\nservice = e\nmemoryMiB = 60\n[model c]\nservice = e\nmemoryMiB = 60\n[model d]\nservice = p\n[service o]\n[model f]\nservice = o\n", []string{
			`f:6: upstreamGroup g: memoryMiB: the models without replicas of service e need 120 MiB on every engine`,
			`f:9: model a: memoryMiB: the model and its adapters need 110 MiB, the largest upstreamGroup of service e has 100 MiB`,
			`f:20: model d: service: service p is of kind plain and can't hold models`,
			`f:23: model f: service: no upstreamGroup belongs to service o`,
		}},
		{"duplicate names and labels", "[service e]\n[upstreamGroup g]\nservice = e\n[upstreamGroup h]\nservice = e\nlabel = g\n[model e]\nservice = e\n", []string{
			`f:6: upstreamGroup h: label: upstreamGroup g has the label g too`,
			`f:7: model e: callers would reach two objects by this name: service e exists too`,
		}},
	} {
		t.Run(tc.name, func(t *testing.T) {
			set, problems := Parse([]File{{Name: "f", Data: []byte(tc.text)}})
			problems = append(problems, Check(set)...)
			sortProblems(problems)
			var got []string
			for _, p := range problems {
				got = append(got, p.String())
			}
			require.Len(t, got, len(tc.want), strings.Join(got, "\n"))
			for i, want := range tc.want {
				assert.Contains(t, got[i], want)
			}
		})
	}
}
