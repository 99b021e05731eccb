package home

import (
	"github.com/rs/zerolog"

	"mothcart/core/slot"
)

// logOutliers logs upstreams that answer with errors more often than others, and those that no longer do.
func logOutliers(log zerolog.Logger, by string, changes []slot.OutlierChange) {
	for _, c := range changes {
		log.Warn().Str("by", by).Str("upstream", c.Upstream.ID).Int64("incarnation", c.Upstream.Incarnation).Str("service", c.Upstream.Service).
			Float64("errorShare", c.Share).Bool("outlier", c.Outlier).Msg("upstreamErrors")
	}
}
