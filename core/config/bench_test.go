package config

import (
	"crypto/sha256"
	"fmt"
	"testing"
)

const benchAccounts = 26_000

func benchSet(b *testing.B) Set {
	b.Helper()
	set := Set{Teams: []Team{{Name: "deacons"}}}
	for i := range benchAccounts {
		name := fmt.Sprintf("c%05d", i)
		hash := fmt.Sprintf("%x", sha256.Sum256([]byte(name)))
		set.Accounts = append(set.Accounts, Account{Name: name, Team: "deacons", KeyHash: hash, RequestsPerSecond: 5})
	}
	return set
}

func BenchmarkParse26000Accounts(b *testing.B) {
	data := Format(benchSet(b))
	b.SetBytes(int64(len(data)))
	for b.Loop() {
		if _, problems := Parse([]File{{Name: "f", Data: data}}); len(problems) > 0 {
			b.Fatal(problems[0])
		}
	}
}

func BenchmarkCheck26000Accounts(b *testing.B) {
	set := benchSet(b)
	for b.Loop() {
		if problems := Check(set); len(problems) > 0 {
			b.Fatal(problems[0])
		}
	}
}

func BenchmarkDiff26000Accounts(b *testing.B) {
	from, to := benchSet(b), benchSet(b)
	to.Accounts[17].Burst = 1
	for b.Loop() {
		if len(Diff(from, to)) != 1 {
			b.Fatal("expected one change")
		}
	}
}
