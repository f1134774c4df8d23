package operator

// IsFirstOfDataCentre shows a Server's choice to tests.
func IsFirstOfDataCentre(s *Server) bool { return s.isFirstOfDataCentre() }
