package operator

// IsFirstOfDataCentre exposes Server.isFirstOfDataCentre to tests.
func IsFirstOfDataCentre(s *Server) bool { return s.isFirstOfDataCentre() }
