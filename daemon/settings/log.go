package settings

// Formats of the log.
const (
	FormatText = "text"
	FormatJSON = "json"
)

// Log configures the log on standard error.
type Log struct {
	Level  string `ini:"level" default:"info"`
	Format string `ini:"format" default:"text"`
}
