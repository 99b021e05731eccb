package node

import (
	"net/http"
	"testing"
	"time"

	"github.com/stretchr/testify/require"

	"mothcart/io/home"
	"mothcart/platform/fake"
)

// Guards against a refusal by a home whose lease has expired: the next home may have stored the job and run its items.
func TestHomeWithoutALeaseRefusesNoJob(t *testing.T) {
	runSite(t, func(t *testing.T, s *testSite) {
		cutOff := map[string]bool{homeIP(1): true, entryIP(2): true}
		s.objects.SetFault(fake.Fault{Down: cutOff})
		for _, cut := range []string{homeIP(2), entryIP(1)} {
			s.network.Partition(homeIP(1), cut)
			s.network.Partition(entryIP(2), cut)
		}
		time.Sleep(6 * time.Second)
		require.True(t, s.homes["s2"].IsHome())
		s.objects.SetFault(fake.Fault{Down: cutOff, NoWatchEvents: true}) // a watch that was open before still delivers
		require.Equal(t, http.StatusAccepted, s.submitJob(1, "j1", 2).status)
		time.Sleep(time.Second)
		require.Equal(t, http.StatusGatewayTimeout, s.submitJob(2, "j1", 2).status)
		require.Positive(t, s.runsOf("j1.0"))
	})
}

// Guards against a refusal by a home that a node with an open attempt has not reached yet.
func TestHomeThatANodeHasNotReachedRefusesNoJob(t *testing.T) {
	runSite(t, func(t *testing.T, s *testSite) {
		refused := []fake.Fate{fake.Refused}
		s.objects.SetFault(fake.Fault{CreationsOf: home.KindJobs, Creations: map[string][]fake.Fate{"": refused, entryIP(1): {fake.Lost, fake.Refused}}})
		require.Equal(t, http.StatusGatewayTimeout, s.submitJob(1, "j1", 2).status)
		s.network.Partition(entryIP(1), homeIP(2))
		s.network.Partition(entryIP(1), entryIP(2))
		s.killHome(1)
		time.Sleep(6 * time.Second)
		require.True(t, s.homes["s2"].IsHome())
		require.Equal(t, http.StatusGatewayTimeout, s.submitJob(2, "j1", 2).status)
	})
}
