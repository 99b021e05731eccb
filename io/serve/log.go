package serve

import (
	"fmt"
	"sync"

	kratoslog "github.com/go-kratos/kratos/v2/log"
	"github.com/rs/zerolog"
)

// kratosLogOnce sets kratos' log, which is one for the whole process; in a process with several VMs
// the first one's log takes the events.
var kratosLogOnce sync.Once

// kratosLog writes kratos' events as debug events.
type kratosLog struct{ log zerolog.Logger }

// Log writes one event.
func (k kratosLog) Log(level kratoslog.Level, keyvals ...any) error {
	e := k.log.Debug()
	if level >= kratoslog.LevelWarn {
		e = k.log.Warn()
	}
	for i := 0; i+1 < len(keyvals); i += 2 {
		e = e.Str(fmt.Sprint(keyvals[i]), fmt.Sprint(keyvals[i+1]))
	}
	e.Msg("kratos")
	return nil
}
