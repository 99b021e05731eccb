package serve

import (
	"fmt"
	"sync"

	kratoslog "github.com/go-kratos/kratos/v2/log"
	"github.com/rs/zerolog"
)

// kratosLogOnce guards the setting of kratos' logger, which is global to the process. In a process with
// several VMs, such as a test, kratos' events go to the log of the VM that is started first.
var kratosLogOnce sync.Once

// kratosLog adapts a zerolog logger to kratos. Kratos' warnings and errors become warnings, all its other
// events debug events.
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
