package config

// Defaults of optional fields.
const (
	DefaultZoneSlots     = 4
	DefaultUpstreamSlots = 4
	DefaultTimeoutMs     = 10_000
	DefaultExpectedMs    = 10
	DefaultExpectedBytes = 4096
	DefaultRampSeconds   = 60
	DefaultShiftCap      = 50
)

func (c *Config) applyDefaults() {
	for name, z := range c.Zones {
		setDefault(&z.Slots, DefaultZoneSlots)
		setDefault(&z.Weight, 1)
		c.Zones[name] = z
	}
	for name, s := range c.Services {
		setDefault(&s.Class, ClassShort)
		setDefault(&s.TimeoutMs, DefaultTimeoutMs)
		setDefault(&s.ExpectedMs, DefaultExpectedMs)
		setDefault(&s.ExpectedBytes, DefaultExpectedBytes)
		setDefault(&s.ShiftCapPerSecond, DefaultShiftCap)
		c.Services[name] = s
	}
	for name, u := range c.Upstreams {
		setDefault(&u.Slots, DefaultUpstreamSlots)
		c.Upstreams[name] = u
	}
	for name, cu := range c.Customers {
		setDefault(&cu.Weight, 1)
		c.Customers[name] = cu
	}
	for name, m := range c.Moves {
		setDefault(&m.RampSeconds, DefaultRampSeconds)
		c.Moves[name] = m
	}
}

func setDefault[T comparable](field *T, value T) {
	var zero T
	if *field == zero {
		*field = value
	}
}
